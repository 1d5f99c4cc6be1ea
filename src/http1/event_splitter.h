// Splits a stream of server-sent events at event boundaries.

#ifndef SRC_HTTP1_EVENT_SPLITTER_H_
#define SRC_HTTP1_EVENT_SPLITTER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace filbertshift {

// An event ends with an empty line; lines end with LF, CR LF or CR.
class EventSplitter {
 public:
  // Appends bytes and returns all events that are now complete. The start of an
  // incomplete event is kept.
  std::string Add(std::string_view bytes);
  // Returns the bytes after the last complete event.
  std::string TakeRest();
  // Size of the incomplete event.
  std::size_t pending_bytes() const { return pending_.size(); }

 private:
  // Finds the end of the last event in pending_ from scanned_ on.
  std::size_t FindLastBoundary();

  // Invariant: pending_ starts at an event boundary, and no event ends within
  // its first scanned_ bytes.
  std::string pending_;
  std::size_t scanned_ = 0;
  // State of the scan at scanned_: whether the current line has no bytes yet,
  // and whether the last byte was a CR.
  bool line_empty_ = false;
  bool after_cr_ = false;
};

}  // namespace filbertshift

#endif  // SRC_HTTP1_EVENT_SPLITTER_H_
