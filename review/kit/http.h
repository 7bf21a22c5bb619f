// Small blocking HTTP/1.1 server and client for the stand-ins of the review.
// One thread per connection; keep-alive; bodies with Content-Length.

#ifndef REVIEW_KIT_HTTP_H_
#define REVIEW_KIT_HTTP_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace review {

struct Request {
  std::string method;
  std::string path;                            // without the query
  std::map<std::string, std::string> query;    // decoded
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

struct Response {
  int status = 200;
  std::string body;
};

// Returns no response if the connection is to deliver nothing any more.
using Handler = std::function<std::optional<Response>(const Request&)>;

// Listens on a free port of 127.0.0.1 for the lifetime of the process.
class Server {
 public:
  explicit Server(Handler handler);
  std::string Address() const;
  std::uint16_t Port() const { return this->port; }
  // Stops accepting and breaks the open connections.
  void Close();

 private:
  void Accept();
  void Serve(int descriptor);

  Handler handler;
  int listener = -1;
  std::uint16_t port = 0;
  std::atomic<bool> closed{false};
};

struct Answer {
  int status = 0;  // 0: no answer
  std::string body;
};

// Sends one call on a connection of its own.
Answer Call(std::uint16_t port,
            const std::string& method,
            const std::string& path,
            const std::map<std::string, std::string>& headers,
            const std::string& body,
            int timeout_ms);

// Returns a port of 127.0.0.1 that is free now.
std::uint16_t FreePort();

}  // namespace review

#endif  // REVIEW_KIT_HTTP_H_
