// Public header of the http1 library: HTTP/1.1 messages, an incremental parser
// and serialization. Targets, bodies and header values are neither decoded nor
// normalized.

#ifndef SRC_HTTP1_HTTP1_H_
#define SRC_HTTP1_HTTP1_H_

#include "src/http1/event_splitter.h"
#include "src/http1/http_message.h"
#include "src/http1/http_parser_adapter.h"
#include "src/http1/response_check.h"
#include "src/http1/stream_event.h"

#endif  // SRC_HTTP1_HTTP1_H_
