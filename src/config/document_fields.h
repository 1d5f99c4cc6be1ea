// Field tables of the configuration document, one per object type.

#ifndef SRC_CONFIG_DOCUMENT_FIELDS_H_
#define SRC_CONFIG_DOCUMENT_FIELDS_H_

#include "src/config/configuration.h"
#include "src/config/field_table.h"

namespace filbertshift {

// The section "models" is an object with these members.
const FieldTable<Configuration>& ModelsSectionFields();
// The other sections are arrays of these objects.
const FieldTable<ClientAccount>& ClientAccountFields();
const FieldTable<DataCentre>& DataCentreFields();
const FieldTable<Rollout>& RolloutFields();

}  // namespace filbertshift

#endif  // SRC_CONFIG_DOCUMENT_FIELDS_H_
