#include "src/http1/http_parser_adapter.h"

#include <algorithm>
#include <utility>

namespace filbertshift {

HttpMessageParser::HttpMessageParser(Kind kind, HttpParseLimits limits)
    : kind_(kind), limits_(limits), parser_() {
  Reset();
}

void HttpMessageParser::Reset() {
  http_parser_init(&parser_,
                   kind_ == Kind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
  request_ = HttpRequestHead();
  response_ = HttpResponseHead();
  body_.clear();
  check_ = ResponseCheck();
  next_ = kind_ == Kind::kResponse ? Part::kField : Part::kBytes;
  line_ = std::string();
  chunk_left_ = 0;
  chunk_end_bytes_ = 0;
  head_bytes_ = 0;
  announced_bytes_ = 0;
  body_bytes_ = 0;
  error_ = HttpParseError::kNone;
  in_value_ = false;
  started_ = false;
  head_complete_ = false;
  complete_ = false;
  has_framing_ = false;
  keep_alive_ = false;
}

std::size_t HttpMessageParser::Feed(std::string_view data) {
  std::size_t used = 0;
  while (used < data.size() && !complete_ && error_ == HttpParseError::kNone) {
    started_ = true;
    std::string_view rest = data.substr(used);
    switch (next_) {
      case Part::kBytes:
        used += Execute(rest);
        break;
      case Part::kField:
      case Part::kChunkSize:
        used += FeedLine(rest);
        break;
      case Part::kChunk:
        used += FeedChunk(rest);
        break;
      case Part::kChunkEnd:
        used += FeedChunkEnd(rest);
        break;
    }
  }
  return used;
}

std::size_t HttpMessageParser::FeedLine(std::string_view data) {
  std::size_t end = data.find('\n');
  bool whole = end != std::string_view::npos;
  std::string_view line = data.substr(0, whole ? end + 1 : data.size());
  std::size_t used = line.size();
  if (!whole || !line_.empty()) {
    line_.append(line);
    line = line_;
  }
  if (!whole) {
    // The fields of whole lines are counted when the library reports them.
    std::size_t counted = head_complete_ ? 0 : head_bytes_;
    if (counted + line_.size() > limits_.max_head_bytes) {
      error_ = HttpParseError::kHeadTooLarge;
    }
    return used;
  }
  bool valid = next_ == Part::kChunkSize ? check_.AddChunkSize(line)
                                         : check_.AddLine(line);
  if (valid) {
    Execute(line);
  } else {
    error_ = HttpParseError::kMalformed;
  }
  line_.clear();
  return used;
}

std::size_t HttpMessageParser::FeedChunk(std::string_view data) {
  std::size_t size = std::min(chunk_left_, data.size());
  Execute(data.substr(0, size));
  chunk_left_ -= size;
  if (chunk_left_ == 0) {
    next_ = Part::kChunkEnd;
    chunk_end_bytes_ = 0;
  }
  return size;
}

// The library takes any two bytes for the line break.
std::size_t HttpMessageParser::FeedChunkEnd(std::string_view data) {
  constexpr std::string_view kLineBreak = "\r\n";
  if (data.front() != kLineBreak[chunk_end_bytes_]) {
    error_ = HttpParseError::kMalformed;
    return 1;
  }
  Execute(data.substr(0, 1));
  if (++chunk_end_bytes_ == kLineBreak.size()) {
    next_ = Part::kChunkSize;
  }
  return 1;
}

std::size_t HttpMessageParser::Execute(std::string_view data) {
  std::size_t used =
      http_parser_execute(&parser_, &Callbacks(), data.data(), data.size());
  http_errno code = HTTP_PARSER_ERRNO(&parser_);
  if (complete_) {
    return std::min(used, data.size());
  }
  if (code != HPE_OK && error_ == HttpParseError::kNone) {
    error_ = code == HPE_HEADER_OVERFLOW ? HttpParseError::kHeadTooLarge
                                         : HttpParseError::kMalformed;
  }
  return used;
}

void HttpMessageParser::FeedEnd() {
  if (!complete_ && head_complete_ && error_ == HttpParseError::kNone) {
    http_parser_execute(&parser_, &Callbacks(), nullptr, 0);
  }
}

std::string HttpMessageParser::TakeBody() {
  return std::exchange(body_, std::string());
}

std::size_t HttpMessageParser::announced_bytes() const {
  return head_complete_ && (parser_.flags & F_CONTENTLENGTH) != 0
             ? announced_bytes_
             : 0;
}

std::size_t HttpMessageParser::head_memory() const {
  const HttpHeaders& fields =
      kind_ == Kind::kRequest ? request_.headers : response_.headers;
  return head_bytes_ + line_.capacity() +
         fields.fields().capacity() * sizeof(HeaderField);
}

HttpHeaders& HttpMessageParser::headers() {
  return kind_ == Kind::kRequest ? request_.headers : response_.headers;
}

HttpMessageParser* HttpMessageParser::Self(http_parser* parser) {
  return static_cast<HttpMessageParser*>(parser->data);
}

bool HttpMessageParser::AddHeadBytes(std::size_t size) {
  head_bytes_ += size;
  if (head_bytes_ > limits_.max_head_bytes) {
    error_ = HttpParseError::kHeadTooLarge;
    return false;
  }
  return true;
}

// The library accepts field names with spaces, which other receivers read as
// different names.
bool HttpMessageParser::CheckRequestFields() const {
  const std::vector<HeaderField>& fields = request_.headers.fields();
  return std::all_of(
      fields.begin(), fields.end(), [](const HeaderField& field) {
        return IsFieldName(field.name) && !HasControlCharacter(field.value);
      });
}

// Rejects framing that receivers interpret differently, because it allows
// request smuggling: a second request hidden in a body.
bool HttpMessageParser::CheckRequestFraming() const {
  int encodings = 0;
  int lengths = 0;
  int hosts = 0;
  for (const HeaderField& field : request_.headers.fields()) {
    if (EqualsIgnoringCase(field.name, "Transfer-Encoding")) {
      ++encodings;
      if (!EqualsIgnoringCase(field.value, "chunked")) {
        return false;
      }
    }
    lengths += EqualsIgnoringCase(field.name, "Content-Length") ? 1 : 0;
    hosts += EqualsIgnoringCase(field.name, "Host") ? 1 : 0;
  }
  bool before_http_1_1 = parser_.http_major != 1 || parser_.http_minor < 1;
  return encodings + lengths <= 1 && hosts <= 1 &&
         !(before_http_1_1 && encodings > 0) && !request_.target.empty() &&
         request_.target.front() == '/';
}

int HttpMessageParser::OnUrl(http_parser* parser,
                             const char* data,
                             std::size_t size) {
  HttpMessageParser* self = Self(parser);
  self->request_.target.append(data, size);
  return self->AddHeadBytes(size) ? 0 : 1;
}

int HttpMessageParser::OnReason(http_parser* parser,
                                const char* data,
                                std::size_t size) {
  HttpMessageParser* self = Self(parser);
  self->response_.reason.append(data, size);
  return self->AddHeadBytes(size) ? 0 : 1;
}

int HttpMessageParser::OnField(http_parser* parser,
                               const char* data,
                               std::size_t size) {
  HttpMessageParser* self = Self(parser);
  if (self->head_complete_) {
    return 0;  // Trailer fields are dropped.
  }
  std::vector<HeaderField>& fields = self->headers().fields();
  if (self->in_value_ || fields.empty()) {
    fields.emplace_back();
    self->in_value_ = false;
  }
  fields.back().name.append(data, size);
  return self->AddHeadBytes(size) ? 0 : 1;
}

int HttpMessageParser::OnValue(http_parser* parser,
                               const char* data,
                               std::size_t size) {
  HttpMessageParser* self = Self(parser);
  if (self->head_complete_) {
    return 0;
  }
  self->in_value_ = true;
  self->headers().fields().back().value.append(data, size);
  return self->AddHeadBytes(size) ? 0 : 1;
}

int HttpMessageParser::OnHeadComplete(http_parser* parser) {
  HttpMessageParser* self = Self(parser);
  for (HeaderField& field : self->headers().fields()) {
    while (!field.value.empty() &&
           (field.value.back() == ' ' || field.value.back() == '\t')) {
      field.value.pop_back();
    }
  }
  if (self->kind_ == Kind::kRequest) {
    self->request_.method =
        http_method_str(static_cast<http_method>(parser->method));
    if (parser->method == HTTP_CONNECT || !self->CheckRequestFields() ||
        !self->CheckRequestFraming()) {
      return -1;
    }
  } else {
    self->response_.status = static_cast<int>(parser->status_code);
  }
  // Requests to upgrade the protocol are ignored.
  parser->upgrade = 0;
  self->has_framing_ = self->kind_ == Kind::kRequest ||
                       (parser->flags & (F_CHUNKED | F_CONTENTLENGTH)) != 0 ||
                       parser->status_code == 204 ||
                       parser->status_code == 304 || self->interim();
  self->keep_alive_ = http_should_keep_alive(parser) != 0;
  self->head_complete_ = true;
  bool checks_chunks =
      self->kind_ == Kind::kResponse && (parser->flags & F_CHUNKED) != 0;
  self->next_ = checks_chunks ? Part::kChunkSize : Part::kBytes;
  self->announced_bytes_ = static_cast<std::size_t>(parser->content_length);
  bool too_large = (parser->flags & F_CONTENTLENGTH) != 0 &&
                   parser->content_length > self->limits_.max_body_bytes;
  if (too_large) {
    self->error_ = HttpParseError::kBodyTooLarge;
    return -1;
  }
  return 0;
}

int HttpMessageParser::OnChunkHead(http_parser* parser) {
  HttpMessageParser* self = Self(parser);
  if (self->kind_ == Kind::kResponse) {
    self->chunk_left_ = static_cast<std::size_t>(parser->content_length);
    self->next_ = self->chunk_left_ == 0 ? Part::kField : Part::kChunk;
  }
  return 0;
}

int HttpMessageParser::OnBody(http_parser* parser,
                              const char* data,
                              std::size_t size) {
  HttpMessageParser* self = Self(parser);
  self->body_bytes_ += size;
  if (self->body_bytes_ > self->limits_.max_body_bytes) {
    self->error_ = HttpParseError::kBodyTooLarge;
    return 1;
  }
  self->body_.append(data, size);
  return 0;
}

int HttpMessageParser::OnComplete(http_parser* parser) {
  Self(parser)->complete_ = true;
  http_parser_pause(parser, 1);
  return 0;
}

const http_parser_settings& HttpMessageParser::Callbacks() {
  static const http_parser_settings kCallbacks = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = &OnUrl;
    settings.on_status = &OnReason;
    settings.on_header_field = &OnField;
    settings.on_header_value = &OnValue;
    settings.on_headers_complete = &OnHeadComplete;
    settings.on_chunk_header = &OnChunkHead;
    settings.on_body = &OnBody;
    settings.on_message_complete = &OnComplete;
    return settings;
  }();
  return kCallbacks;
}

}  // namespace filbertshift
