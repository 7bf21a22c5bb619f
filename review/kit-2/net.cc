#include "review/kit-2/net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <utility>

namespace review {

namespace {

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

void SendAtOnce(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

bool SendAll(int socket, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t n =
        send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

std::string Unescape(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

// Reads the head and the body of a message; false: the connection has ended or
// the time is over.
bool ReadMessage(int socket,
                 std::string* buffer,
                 std::string* first_line,
                 std::map<std::string, std::string>* headers,
                 std::string* body,
                 std::chrono::steady_clock::time_point until) {
  const auto fill = [&] {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        until - std::chrono::steady_clock::now());
    pollfd waiting{socket, POLLIN, 0};
    if (left.count() <= 0 ||
        poll(&waiting, 1, static_cast<int>(left.count())) <= 0) {
      return false;
    }
    char bytes[16384];
    const ssize_t n = recv(socket, bytes, sizeof(bytes), 0);
    if (n <= 0) {
      return false;
    }
    buffer->append(bytes, static_cast<std::size_t>(n));
    return true;
  };
  std::size_t end = buffer->find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!fill()) {
      return false;
    }
    end = buffer->find("\r\n\r\n");
  }
  std::size_t at = buffer->find("\r\n");
  *first_line = buffer->substr(0, at);
  headers->clear();
  while (at < end) {
    const std::size_t next = buffer->find("\r\n", at + 2);
    const std::string line = buffer->substr(at + 2, next - at - 2);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      (*headers)[Lower(line.substr(0, colon))] = line.substr(value);
    }
    at = next;
  }
  const auto length = headers->find("content-length");
  const std::size_t size =
      length == headers->end() ? 0 : std::stoul(length->second);
  while (buffer->size() < end + 4 + size) {
    if (!fill()) {
      return false;
    }
  }
  *body = buffer->substr(end + 4, size);
  buffer->erase(0, end + 4 + size);
  return true;
}

const char* Phrase(int status) {
  return status == 200 ? "OK" : "Other";
}

}  // namespace

//-----------------------------------------------------------------------------
// [SECTION] Server
//-----------------------------------------------------------------------------

Server::~Server() {
  this->Close();
}

void Server::Listen(int at_port) {
  const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Loopback(at_port);
  socklen_t size = sizeof(address);
  if (bind(made, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(made, 512) != 0 ||
      getsockname(made, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    std::cerr << "cannot listen on port " << at_port << std::endl;
    std::_Exit(2);
  }
  const std::lock_guard lock(this->mutex);
  this->listener = made;
  this->port = ntohs(address.sin_port);
  std::thread([this, made] { this->Accept(made); }).detach();
}

void Server::Close() {
  const std::lock_guard lock(this->mutex);
  if (this->listener >= 0) {
    shutdown(this->listener, SHUT_RDWR);
    close(this->listener);
    this->listener = -1;
  }
  const linger reset{1, 0};
  for (const auto& [number, socket] : this->open) {
    if (number > this->silent_up_to) {
      setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      shutdown(socket, SHUT_RDWR);
    }
  }
}

void Server::SilenceConnections() {
  const std::lock_guard lock(this->mutex);
  this->silent_up_to = this->next_number - 1;
}

void Server::Accept(int listener) {
  while (true) {
    const int made = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (made < 0) {
      return;
    }
    SendAtOnce(made);
    const std::lock_guard lock(this->mutex);
    const int number = this->next_number++;
    this->open[number] = made;
    std::thread([this, made, number] { this->Serve(made, number); }).detach();
  }
}

void Server::Serve(int socket, int number) {
  const auto silent = [&] {
    const std::lock_guard lock(this->mutex);
    return number <= this->silent_up_to;
  };
  std::string buffer;
  std::string line;
  Request request;
  request.connection = number;
  const auto never = std::chrono::steady_clock::now() + std::chrono::hours(1);
  while (ReadMessage(socket, &buffer, &line, &request.headers, &request.body,
                     never)) {
    if (silent()) {
      continue;
    }
    const std::size_t first = line.find(' ');
    const std::size_t second = line.find(' ', first + 1);
    request.method = line.substr(0, first);
    std::string target = line.substr(first + 1, second - first - 1);
    request.query.clear();
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    std::string rest =
        mark == std::string::npos ? std::string() : target.substr(mark + 1);
    while (!rest.empty()) {
      const std::string pair = rest.substr(0, rest.find('&'));
      rest.erase(0, pair.size() + 1);
      const std::size_t equals = pair.find('=');
      request.query[pair.substr(0, equals)] = Unescape(pair.substr(equals + 1));
    }
    const std::optional<Reply> reply = this->handler(request);
    if (!reply || silent()) {
      continue;
    }
    if (!SendAll(socket, "HTTP/1.1 " + std::to_string(reply->status) + " " +
                             Phrase(reply->status) +
                             "\r\nContent-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(reply->body.size()) + "\r\n\r\n" +
                             reply->body)) {
      break;
    }
  }
  const std::lock_guard lock(this->mutex);
  this->open.erase(number);
  close(socket);
}

//-----------------------------------------------------------------------------
// [SECTION] Client
//-----------------------------------------------------------------------------

std::optional<Reply> Call(int port,
                          const std::string& method,
                          const std::string& path,
                          const std::map<std::string, std::string>& headers,
                          const std::string& body,
                          int timeout_ms) {
  const auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);
  const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  SendAtOnce(made);
  const sockaddr_in address = Loopback(port);
  std::optional<Reply> reply;
  if (connect(made, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0) {
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
      text.append(name).append(": ").append(value).append("\r\n");
    }
    text += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buffer;
    std::string line;
    std::map<std::string, std::string> answered;
    std::string content;
    if (SendAll(made, text) &&
        ReadMessage(made, &buffer, &line, &answered, &content, until)) {
      reply = Reply{std::stoi(line.substr(line.find(' ') + 1)), content};
    }
  }
  close(made);
  return reply;
}

int FreePort() {
  // Below the ports that the kernel gives to outgoing connections, so that a
  // program that is down finds its port free again.
  constexpr int kFirst = 20000;
  constexpr int kCount = 12000;
  static int next = getpid() * 37 % kCount;
  while (true) {
    const int port = kFirst + next++ % kCount;
    const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    const bool found = bind(made, reinterpret_cast<const sockaddr*>(&address),
                            sizeof(address)) == 0;
    close(made);
    if (found) {
      return port;
    }
  }
}

}  // namespace review
