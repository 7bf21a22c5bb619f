// Blocking HTTP/1.1 server and client on loopback addresses, with a thread for
// each connection.
//
// Index:
//   [SECTION] Messages
//   [SECTION] Server
//   [SECTION] Client

#ifndef REVIEW_KIT_2_NET_H_
#define REVIEW_KIT_2_NET_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace review {

//-----------------------------------------------------------------------------
// [SECTION] Messages
//-----------------------------------------------------------------------------

struct Request {
  std::string method;
  std::string path;                            // without the query
  std::map<std::string, std::string> query;    // decoded
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  int connection = 0;  // number of the connection, unique in the server
};

struct Reply {
  int status = 0;
  std::string body;
};

//-----------------------------------------------------------------------------
// [SECTION] Server
//-----------------------------------------------------------------------------

// Thread-safe.
class Server {
 public:
  // No reply: the connection stays open and silent.
  using Handler = std::function<std::optional<Reply>(const Request&)>;

  explicit Server(Handler handler) : handler(std::move(handler)) {}
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Listens on 127.0.0.1; port 0: any free port. Exits the program on failure.
  void Listen(int at_port = 0);
  // Closes the listener, and resets all connections.
  void Close();
  // Open connections send and receive nothing any more and are never closed by
  // this side, as after a loss of power.
  void SilenceConnections();
  int Port() const { return this->port; }

 private:
  void Accept(int listener);
  void Serve(int socket, int number);

  Handler handler;
  std::mutex mutex;
  int listener = -1;  // guarded by mutex
  int port = 0;
  int next_number = 1;      // guarded by mutex
  int silent_up_to = 0;     // guarded by mutex; numbers of connections
  std::map<int, int> open;  // guarded by mutex; sockets by number
};

//-----------------------------------------------------------------------------
// [SECTION] Client
//-----------------------------------------------------------------------------

// Sends one request on a connection of its own. None: no complete response
// within the timeout.
std::optional<Reply> Call(int port,
                          const std::string& method,
                          const std::string& path,
                          const std::map<std::string, std::string>& headers,
                          const std::string& body,
                          int timeout_ms);

// Returns a port that nothing listens on.
int FreePort();

}  // namespace review

#endif  // REVIEW_KIT_2_NET_H_
