#include "src/protocol/http_headers.h"

#include <algorithm>

namespace peridot {
namespace {

char LowerAscii(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

}  // namespace

bool EqualHeaderNames(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return LowerAscii(x) == LowerAscii(y);
  });
}

int CountHeaders(const HttpHeaders& headers, std::string_view name) {
  return static_cast<int>(std::count_if(
      headers.begin(), headers.end(), [name](const HttpHeader& header) {
        return EqualHeaderNames(header.name, name);
      }));
}

std::optional<std::string_view> FindHeader(const HttpHeaders& headers,
                                           std::string_view name) {
  std::optional<std::string_view> found;
  for (const HttpHeader& header : headers) {
    if (!EqualHeaderNames(header.name, name)) {
      continue;
    }
    if (found) {
      return std::nullopt;
    }
    found = header.value;
  }
  return found;
}

}  // namespace peridot
