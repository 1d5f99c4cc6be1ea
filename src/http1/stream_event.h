// Functions for single events of a text/event-stream.

#ifndef SRC_HTTP1_STREAM_EVENT_H_
#define SRC_HTTP1_STREAM_EVENT_H_

#include <string>
#include <string_view>

namespace filbertshift {

// Removes the first event from a text that consists of complete events, and
// returns it.
std::string_view TakeEvent(std::string_view* events);

// The value of the "id" field of one event; empty if it has none.
std::string EventIdOf(std::string_view event);

// Whether the event has a "data" or an "id" field. Others, such as comments
// that keep the connection open, do not advance a stream.
bool AdvancesStream(std::string_view event);

// True if event `id` is `last` or comes before it. IDs that are not numbers are
// only compared for equality.
bool IsNotAfter(const std::string& id, const std::string& last);

}  // namespace filbertshift

#endif  // SRC_HTTP1_STREAM_EVENT_H_
