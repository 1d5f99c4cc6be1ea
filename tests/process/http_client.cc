#include "tests/process/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <sstream>

namespace filbertshift {

namespace {

using nlohmann::json;

std::size_t OnBody(char* data, std::size_t size, std::size_t count, void* out) {
  static_cast<std::string*>(out)->append(data, size * count);
  return size * count;
}

std::size_t OnHeader(char* data,
                     std::size_t size,
                     std::size_t count,
                     void* out) {
  std::string line(data, size * count);
  std::size_t colon = line.find(':');
  if (colon != std::string::npos) {
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    std::size_t start = line.find_first_not_of(' ', colon + 1);
    std::size_t end = line.find_last_not_of("\r\n");
    bool has_value = start != std::string::npos && end >= start;
    (*static_cast<HttpResult*>(out)).headers[name] =
        has_value ? line.substr(start, end - start + 1) : std::string();
  }
  return size * count;
}

std::chrono::milliseconds Time(CURL* handle, CURLINFO info) {
  curl_off_t micros = 0;
  curl_easy_getinfo(handle, info, &micros);
  return std::chrono::milliseconds(micros / 1000);
}

}  // namespace

json HttpResult::Json() const {
  return json::parse(body, nullptr, false);
}

std::string HttpResult::Run() const {
  json parsed = Json();
  return parsed.is_object() && parsed.contains("error")
             ? parsed["error"].value("run", "")
             : "";
}

std::string HttpResult::ErrorCode() const {
  json parsed = Json();
  return parsed.is_object() && parsed.contains("error")
             ? parsed["error"].value("code", "")
             : "";
}

HttpResult Call(const HttpCall& call) {
  static const CURLcode kInitialized = curl_global_init(CURL_GLOBAL_DEFAULT);
  HttpResult result;
  CURL* handle = curl_easy_init();
  if (kInitialized != CURLE_OK || handle == nullptr) {
    result.error = "cannot initialize the HTTP client";
    return result;
  }
  curl_slist* headers = curl_slist_append(nullptr, "Expect:");
  for (const std::string& header : call.headers) {
    headers = curl_slist_append(headers, header.c_str());
  }
  std::string url = "http://" + call.url;
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(call.timeout.count()));
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, OnBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &result.body);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, OnHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, &result);
  if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call.body.size()));
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.c_str());
  }
  CURLcode code = curl_easy_perform(handle);
  long status = 0;
  curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
  result.first_byte = Time(handle, CURLINFO_STARTTRANSFER_TIME_T);
  result.total = Time(handle, CURLINFO_TOTAL_TIME_T);
  if (code != CURLE_OK) {
    result.error = curl_easy_strerror(code);
  } else {
    result.status = static_cast<int>(status);
  }
  curl_slist_free_all(headers);
  curl_easy_cleanup(handle);
  return result;
}

StreamedAnswer ReadStream(const std::string& body) {
  StreamedAnswer answer;
  std::istringstream lines(body);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.rfind("data: ", 0) != 0) {
      continue;
    }
    std::string data = line.substr(6);
    if (data == "[DONE]") {
      answer.done = true;
      continue;
    }
    json chunk = json::parse(data, nullptr, false);
    if (!chunk.is_object()) {
      continue;
    }
    if (chunk.contains("error")) {
      answer.error_code = chunk["error"].value("code", "");
      continue;
    }
    answer.model = chunk.value("model", answer.model);
    if (chunk.contains("choices") && !chunk["choices"].empty()) {
      json delta = chunk["choices"][0].value("delta", json::object());
      answer.text += delta.value("content", std::string());
    }
  }
  return answer;
}

}  // namespace filbertshift
