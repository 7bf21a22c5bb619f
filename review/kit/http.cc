#include "review/kit/http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <memory>
#include <stdexcept>
#include <thread>

namespace review {

namespace {

constexpr int kPollMs = 200;
constexpr std::size_t kChunk = 65536;
constexpr int kFirstPort = 12000;
constexpr int kPorts = 16000;
constexpr int kPortsOfCase = 40;

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
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

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

bool SendAll(int descriptor, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t count =
        send(descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

// Parses the start line and the headers; `first` gets the start line.
std::map<std::string, std::string> ParseHead(const std::string& head,
                                             std::string* first) {
  std::map<std::string, std::string> headers;
  std::size_t at = head.find("\r\n");
  *first = head.substr(0, at);
  while (at != std::string::npos && at + 2 < head.size()) {
    const std::size_t end = head.find("\r\n", at + 2);
    const std::string line = head.substr(at + 2, end - at - 2);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      headers[Lower(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
    at = end;
  }
  return headers;
}

std::size_t LengthIn(const std::map<std::string, std::string>& headers) {
  const auto found = headers.find("content-length");
  return found == headers.end() ? 0 : std::stoul(found->second);
}

Request ParseRequest(const std::string& head) {
  Request request;
  std::string first;
  request.headers = ParseHead(head, &first);
  const std::size_t space = first.find(' ');
  const std::size_t end = first.rfind(' ');
  request.method = first.substr(0, space);
  std::string target = first.substr(space + 1, end - space - 1);
  const std::size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  if (mark != std::string::npos) {
    std::string rest = target.substr(mark + 1);
    while (!rest.empty()) {
      const std::size_t next = rest.find('&');
      const std::string pair = rest.substr(0, next);
      const std::size_t equals = pair.find('=');
      request.query[pair.substr(0, equals)] =
          equals == std::string::npos ? "" : Unescape(pair.substr(equals + 1));
      rest = next == std::string::npos ? "" : rest.substr(next + 1);
    }
  }
  return request;
}

}  // namespace

Server::Server(Handler handler) : handler(std::move(handler)) {
  this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  if (bind(this->listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(this->listener, 256) != 0 ||
      getsockname(this->listener, reinterpret_cast<sockaddr*>(&address),
                  &size) != 0) {
    throw std::runtime_error("no port to listen on");
  }
  this->port = ntohs(address.sin_port);
  std::thread([this] { this->Accept(); }).detach();
}

std::string Server::Address() const {
  return "127.0.0.1:" + std::to_string(this->port);
}

void Server::Close() {
  this->closed = true;
  shutdown(this->listener, SHUT_RDWR);
  close(this->listener);
}

void Server::Accept() {
  while (!this->closed) {
    const int descriptor =
        accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) {
      continue;
    }
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::thread([this, descriptor] { this->Serve(descriptor); }).detach();
  }
}

void Server::Serve(int descriptor) {
  std::string buffer;
  bool mute = false;
  std::string chunk(kChunk, '\0');
  while (!this->closed) {
    pollfd waiting{descriptor, POLLIN, 0};
    if (poll(&waiting, 1, kPollMs) <= 0) {
      continue;
    }
    const ssize_t count = recv(descriptor, chunk.data(), chunk.size(), 0);
    if (count <= 0) {
      break;
    }
    if (mute) {
      continue;
    }
    buffer.append(chunk, 0, static_cast<std::size_t>(count));
    for (;;) {
      const std::size_t head_end = buffer.find("\r\n\r\n");
      if (head_end == std::string::npos) {
        break;
      }
      Request request = ParseRequest(buffer.substr(0, head_end + 2));
      const std::size_t length = LengthIn(request.headers);
      if (buffer.size() < head_end + 4 + length) {
        break;
      }
      request.body = buffer.substr(head_end + 4, length);
      buffer.erase(0, head_end + 4 + length);
      std::optional<Response> response;
      try {
        response = this->handler(request);
      } catch (const std::exception& error) {
        response = Response{400, "{\"Error\":\"malformed\"}"};
      }
      if (!response || this->closed) {
        mute = true;
        break;
      }
      const std::string text =
          "HTTP/1.1 " + std::to_string(response->status) +
          " x\r\nContent-Type: application/json\r\nContent-Length: " +
          std::to_string(response->body.size()) + "\r\n\r\n" + response->body;
      if (!SendAll(descriptor, text)) {
        mute = true;
        break;
      }
    }
  }
  close(descriptor);
}

Answer Call(std::uint16_t port,
            const std::string& method,
            const std::string& path,
            const std::map<std::string, std::string>& headers,
            const std::string& body,
            int timeout_ms) {
  Answer answer;
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{timeout_ms / 1000, timeout_ms % 1000 * 1000L};
  setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in address = Loopback(port);
  std::string text = method + " " + path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0 ||
      !SendAll(descriptor, text)) {
    close(descriptor);
    return answer;
  }
  std::string buffer;
  std::string chunk(kChunk, '\0');
  for (;;) {
    const ssize_t count = recv(descriptor, chunk.data(), chunk.size(), 0);
    if (count <= 0) {
      break;
    }
    buffer.append(chunk, 0, static_cast<std::size_t>(count));
    const std::size_t head_end = buffer.find("\r\n\r\n");
    if (head_end == std::string::npos) {
      continue;
    }
    std::string first;
    const auto fields = ParseHead(buffer.substr(0, head_end + 2), &first);
    const std::size_t length = LengthIn(fields);
    if (buffer.size() >= head_end + 4 + length) {
      answer.status = std::atoi(first.substr(9, 3).c_str());
      answer.body = buffer.substr(head_end + 4, length);
      break;
    }
  }
  close(descriptor);
  return answer;
}

std::uint16_t FreePort() {
  // Below the range from which the system takes the ports of connections, so
  // that a process finds its port free again when it is restarted.
  static int next = kFirstPort + getpid() * kPortsOfCase % kPorts;
  for (int tries = 0; tries < kPorts; ++tries) {
    const auto port = static_cast<std::uint16_t>(next);
    next = next + 1 < kFirstPort + kPorts ? next + 1 : kFirstPort;
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const bool is_free =
        bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) == 0;
    close(descriptor);
    if (is_free) {
      return port;
    }
  }
  throw std::runtime_error("no free port");
}

}  // namespace review
