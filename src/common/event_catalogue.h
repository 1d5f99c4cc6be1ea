// Catalogue of all log events. Each subsystem has its own range of numbers, so
// that a number identifies the subsystem an event comes from.

#ifndef SRC_COMMON_EVENT_CATALOGUE_H_
#define SRC_COMMON_EVENT_CATALOGUE_H_

#include <string_view>
#include <vector>

namespace filbertshift {

enum class Severity { kDebug, kInfo, kWarning, kError };

std::string_view SeverityName(Severity severity);

// Numbers are stable and never reused for another event.
enum class EventId : int {
  // 1000: daemon.
  kDaemonStarted = 1000,
  kDaemonReady = 1001,
  kShutdownBegun = 1002,
  kDaemonStopped = 1003,
  kInvariantViolated = 1004,

  // 1100: requests and attempts.
  kRequestAccepted = 1100,
  kRequestRefused = 1101,
  kRequestFinished = 1102,
  kRequestFailed = 1103,
  kCallerGone = 1104,
  kAttemptStarted = 1110,
  kAttemptSent = 1111,
  kAttemptEnded = 1112,
  kAttemptContinued = 1113,
  kStaleAnswerDropped = 1114,

  // 1200: routing, endpoints and failure detection.
  kEndpointAdded = 1200,
  kEndpointRemoved = 1201,
  kEndpointRestarted = 1202,
  kEndpointSuspected = 1203,
  kEndpointTrusted = 1204,
  kEndpointDraining = 1205,
  kRequestSuspected = 1210,
  kRequestConvicted = 1211,

  // 1300: ledger and platform.
  kTableUnavailable = 1300,
  kTableRecovered = 1301,
  kExecutionReserved = 1302,
  kExecutionReleased = 1303,
  kExecutionDone = 1304,
  kChargeBuffered = 1305,
  kChargesStored = 1306,
  kJobAccepted = 1307,
  kJobClaimed = 1308,
  kJobFinished = 1309,
  kSessionBound = 1310,
  kSessionMoved = 1311,
  kInstanceListStale = 1312,

  // 1400: configuration.
  kConfigurationInForce = 1400,
  kConfigurationRejected = 1401,
  kConfigurationStale = 1402,
  kCandidateStopped = 1403,

  // 1500: peers.
  kPeerUp = 1500,
  kPeerDown = 1501,
  kPeerMessageRejected = 1502,

  // 1600: callers and operators.
  kCallerConnectionRejected = 1600,
  kOperatorCommand = 1601,

  // 1700: routing by host and path prefix.
  kGatewayStarted = 1700,
  kGatewayReady = 1701,
  kGatewayDraining = 1702,
  kGatewayStopped = 1703,
  kSettingsReloaded = 1704,
  kLogLinesDropped = 1705,
  kExchangeFinished = 1710,
  kRoutedAttemptEnded = 1711,
  kAttemptMoved = 1712,
  kModelEscalated = 1713,
  kForeignAnswerDropped = 1714,
  kCallerFieldRejected = 1715,
  kCallerMessageRejected = 1716,
  kRoutedEndpointChanged = 1720,
  kRoutedEndpointRemoved = 1721,
  kEvacuationChanged = 1722,
  kEndpointLeaving = 1723,
  kEndpointPaused = 1724,
  kEndpointFieldRejected = 1725,
  kUnsolicitedBytes = 1726,
  kRolloutOrdered = 1730,
  kRolloutProgress = 1731,
  kRolloutDecided = 1732,
  kRolloutStopped = 1733,
  kStoreRowRejected = 1740,
  kStoreUnreachable = 1741,
  kStoreReachable = 1742,
  kPeerViewTaken = 1743,
  kPeerViewFailed = 1744,
  kViewSourceChanged = 1745,
  kPeerRowRejected = 1746,
  kStoreFindingsOmitted = 1747,
  kInstanceEntriesIgnored = 1748,
  kStoreHistoryLost = 1749,
  kInstanceCountChanged = 1750,
  kStoreSnapshotRefused = 1751,
  kStoreReturned = 1752,
  kStoreEraRejected = 1753,
  kCallerRequestCut = 1760,
  kEndpointProbed = 1770,
  kEndpointCrashed = 1780,
  kCauseBlocked = 1781,
  kCauseReleased = 1782,
  kCrashEvidenceRejected = 1783,
  kEndpointLoadCurrent = 1790,
  kEndpointLoadUnknown = 1791,
  kEndpointLoadRejected = 1792,
  kAdmissionRefused = 1800,
  kSheddingStarted = 1801,
  kSheddingEnded = 1802,
  kRequestsLeftDataCentre = 1820,
  kOverflowBothWays = 1821,
  kConnectsFailing = 1830,
  kConnectsRestored = 1831,
  kNoEndpointUsable = 1832,
  kEndpointContactLost = 1840,
  kEndpointContactRegained = 1841,
  kRequestHandedOver = 1842,
  kHandoverEnded = 1843,
  kHandoverRejected = 1844,
};

struct EventDefinition {
  EventId id;
  Severity severity;
  // Name in snake case, as used in log lines and in docs/events.md.
  std::string_view name;
  // What happened and what the operator should do, if anything.
  std::string_view description;
};

// All events, ordered by number.
const std::vector<EventDefinition>& EventDefinitions();

// Throws std::out_of_range if the catalogue has no event with this number.
const EventDefinition& FindEventDefinition(EventId id);

}  // namespace filbertshift

#endif  // SRC_COMMON_EVENT_CATALOGUE_H_
