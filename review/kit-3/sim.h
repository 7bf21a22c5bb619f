// Stand-in of the users' platform for the cases of review 3: the store, the
// executors, the machines, the advice service, and clients. It follows
// PROTOCOL.md; where that page is silent it behaves like a sound service.
//
// Index:
//   [SECTION] Basics
//   [SECTION] Net
//   [SECTION] Store
//   [SECTION] Executors
//   [SECTION] Platform
//   [SECTION] Daemons and clients
//
// One thread serves all sockets; the test's thread takes `mutex` to read or
// change the state. All addresses are on the loopback interface.

#ifndef REVIEW_KIT_3_SIM_H_
#define REVIEW_KIT_3_SIM_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <tuple>
#include <utility>
#include <vector>

namespace review {

using Json = nlohmann::json;

//-----------------------------------------------------------------------------
// [SECTION] Basics
//-----------------------------------------------------------------------------

inline double NowMs() {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void SleepMs(double ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

// What was sent, answered and run, with the time since the start of the test.
class Record {
 public:
  explicit Record(const std::string& path)
      : out(path), begin(review::NowMs()) {}
  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%9.1f ", review::NowMs() - this->begin);
    this->out << time << text << std::endl;
  }
  double Begin() const { return this->begin; }

 private:
  std::ofstream out;
  std::mutex mutex;
  double begin;
};

inline std::string ToBase64(const std::string& in) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    unsigned value = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      value = value << 8 |
              (i + j < in.size() ? static_cast<unsigned char>(in[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j > in.size() ? '=' : kDigits[value >> (18 - 6 * j) & 63];
    }
  }
  return out;
}

inline std::string FromBase64(const std::string& in) {
  std::string out;
  unsigned value = 0;
  int bits = 0;
  for (const char c : in) {
    int digit = 0;
    if (c >= 'A' && c <= 'Z') {
      digit = c - 'A';
    } else if (c >= 'a' && c <= 'z') {
      digit = c - 'a' + 26;
    } else if (c >= '0' && c <= '9') {
      digit = c - '0' + 52;
    } else if (c == '+' || c == '/') {
      digit = c == '+' ? 62 : 63;
    } else {
      continue;
    }
    value = value << 6 | static_cast<unsigned>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>(value >> bits & 255);
    }
  }
  return out;
}

//-----------------------------------------------------------------------------
// [SECTION] Net
//-----------------------------------------------------------------------------

struct Request {
  std::uint64_t connection = 0;
  int listener = 0;
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

// An HTTP server with many listeners and replies that may come later.
class Net {
 public:
  // Returns the number of a listener on a free port, or on `port`.
  int Listen(int port = 0) {
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(fd, 128) != 0) {
      close(fd);
      return -1;
    }
    socklen_t size = sizeof(address);
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    this->listeners.push_back({fd, ntohs(address.sin_port)});
    return static_cast<int>(this->listeners.size()) - 1;
  }
  int Port(int listener) const { return this->listeners[listener].port; }
  // Closes the listener and its connections; they are reset unless `silent`,
  // which leaves them open without answers.
  void Shut(int listener, bool silent) {
    close(this->listeners[listener].fd);
    this->listeners[listener].fd = -1;
    for (auto& [id, connection] : this->connections) {
      if (connection.listener == listener) {
        connection.silent = silent;
        connection.dead = !silent;
      }
    }
  }
  void Reply(std::uint64_t id, int status, const Json& body) {
    const auto found = this->connections.find(id);
    if (found == this->connections.end() || found->second.silent ||
        found->second.dead) {
      return;
    }
    const std::string text = body.is_null() ? "" : body.dump();
    found->second.out += "HTTP/1.1 " + std::to_string(status) +
                         " X\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(text.size()) + "\r\n\r\n" + text;
    found->second.busy = false;
  }
  // Resets the connection.
  void Reset(std::uint64_t id) {
    const auto found = this->connections.find(id);
    if (found != this->connections.end()) {
      found->second.dead = true;
    }
  }
  bool Open(std::uint64_t id) const {
    const auto found = this->connections.find(id);
    return found != this->connections.end() && !found->second.dead;
  }

  // Waits at most 2 ms and handles what has come.
  void Poll(std::mutex* mutex, const std::function<void(Request)>& handle) {
    std::vector<pollfd> polls;
    std::vector<std::pair<bool, std::uint64_t>> of;
    {
      const std::lock_guard<std::mutex> lock(*mutex);
      for (auto entry = this->connections.begin();
           entry != this->connections.end();) {
        if (entry->second.dead) {
          const linger reset{1, 0};
          setsockopt(entry->second.fd, SOL_SOCKET, SO_LINGER, &reset,
                     sizeof(reset));
          close(entry->second.fd);
          entry = this->connections.erase(entry);
        } else {
          ++entry;
        }
      }
      for (std::size_t i = 0; i < this->listeners.size(); ++i) {
        if (this->listeners[i].fd >= 0) {
          polls.push_back({this->listeners[i].fd, POLLIN, 0});
          of.emplace_back(true, i);
        }
      }
      for (auto& [id, connection] : this->connections) {
        short events = POLLIN;
        if (!connection.out.empty()) {
          events |= POLLOUT;
        }
        polls.push_back({connection.fd, events, 0});
        of.emplace_back(false, id);
      }
    }
    poll(polls.data(), polls.size(), 2);
    const std::lock_guard<std::mutex> lock(*mutex);
    for (std::size_t i = 0; i < polls.size(); ++i) {
      if (polls[i].revents == 0) {
        continue;
      }
      if (of[i].first) {
        this->Accept(static_cast<int>(of[i].second), polls[i].fd);
      } else {
        this->Serve(of[i].second, polls[i].revents, handle);
      }
    }
  }

 private:
  struct Listener {
    int fd = -1;
    int port = 0;
  };
  struct Connection {
    int fd = -1;
    int listener = 0;
    std::string in;
    std::string out;
    bool busy = false;
    bool dead = false;
    bool silent = false;
  };

  void Accept(int listener, int fd) {
    const int accepted =
        accept4(fd, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (accepted >= 0) {
      const int on = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      Connection connection;
      connection.fd = accepted;
      connection.listener = listener;
      this->connections[++this->last] = std::move(connection);
    }
  }

  void Serve(std::uint64_t id,
             short events,
             const std::function<void(Request)>& handle) {
    const auto found = this->connections.find(id);
    if (found == this->connections.end() || found->second.dead) {
      return;
    }
    Connection& connection = found->second;
    if ((events & POLLOUT) != 0) {
      const ssize_t sent = send(connection.fd, connection.out.data(),
                                connection.out.size(), MSG_NOSIGNAL);
      if (sent > 0) {
        connection.out.erase(0, static_cast<std::size_t>(sent));
      }
    }
    if ((events & (POLLIN | POLLHUP | POLLERR)) != 0) {
      char buffer[65536];
      const ssize_t got = recv(connection.fd, buffer, sizeof(buffer), 0);
      if (got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR)) {
        connection.dead = true;
        return;
      }
      if (got > 0) {
        connection.in.append(buffer, static_cast<std::size_t>(got));
      }
    }
    if (connection.silent || connection.busy) {
      return;
    }
    std::optional<Request> request = Parse(&connection);
    if (request) {
      connection.busy = true;
      request->connection = id;
      handle(std::move(*request));
    }
  }

  static std::optional<Request> Parse(Connection* connection) {
    const auto head = connection->in.find("\r\n\r\n");
    if (head == std::string::npos) {
      return std::nullopt;
    }
    Request request;
    request.listener = connection->listener;
    std::size_t at = connection->in.find("\r\n");
    const std::string line = connection->in.substr(0, at);
    request.method = line.substr(0, line.find(' '));
    std::string target = line.substr(line.find(' ') + 1);
    target = target.substr(0, target.find(' '));
    while (at < head) {
      const std::size_t end = connection->in.find("\r\n", at + 2);
      const std::string header = connection->in.substr(at + 2, end - at - 2);
      std::string name = header.substr(0, header.find(':'));
      for (char& c : name) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      }
      const auto value = header.find_first_not_of(' ', header.find(':') + 1);
      request.headers[name] =
          value == std::string::npos ? "" : header.substr(value);
      at = end;
    }
    const std::size_t length =
        request.headers.contains("content-length")
            ? std::stoul(request.headers["content-length"])
            : 0;
    if (connection->in.size() < head + 4 + length) {
      return std::nullopt;
    }
    request.body = connection->in.substr(head + 4, length);
    connection->in.erase(0, head + 4 + length);
    const auto mark = target.find('?');
    request.path = Unescape(target.substr(0, mark));
    std::string rest =
        mark == std::string::npos ? "" : target.substr(mark + 1) + "&";
    while (!rest.empty()) {
      const std::string item = rest.substr(0, rest.find('&'));
      rest = rest.substr(rest.find('&') + 1);
      if (const auto equals = item.find('='); equals != std::string::npos) {
        request.query[item.substr(0, equals)] =
            Unescape(item.substr(equals + 1));
      }
    }
    return request;
  }

  static std::string Unescape(const std::string& in) {
    std::string out;
    for (std::size_t i = 0; i < in.size(); ++i) {
      if (in[i] == '%' && i + 2 < in.size()) {
        out += static_cast<char>(std::stoi(in.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        out += in[i];
      }
    }
    return out;
  }

  std::vector<Listener> listeners;
  std::map<std::uint64_t, Connection> connections;
  std::uint64_t last = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

class Store {
 public:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool gone = false;
  };
  using Key = std::tuple<std::string, std::string, std::string>;

  // Returns the status and the body.
  std::pair<int, Json> Transact(const Json& body) {
    Json conflict = Json::array();
    bool failed = false;
    for (const Json& row : body.value("Precondition", Json::array())) {
      const Key key = KeyOf(row);
      const auto found = this->rows.find(key);
      const std::uint64_t current =
          found == this->rows.end() || found->second.gone
              ? 0
              : found->second.version;
      failed = failed || current != row.value("Ver", std::uint64_t{0});
      if (current != 0) {
        conflict.push_back(RowJson(key, found->second));
      }
    }
    if (failed) {
      return {412, Answer(std::move(conflict), false)};
    }
    ++this->version;
    for (const Json& row : body.value("Puts", Json::array())) {
      this->rows[KeyOf(row)] = Row{
          FromBase64(row.at("Value").get<std::string>()), this->version, false};
    }
    for (const Json& row : body.value("Remove", Json::array())) {
      const auto found = this->rows.find(KeyOf(row));
      if (found != this->rows.end() && !found->second.gone) {
        found->second = Row{"", this->version, true};
      }
    }
    return {200, Answer(Json::array(), false)};
  }
  void Put(const std::string& table,
           const std::string& key,
           const Json& value) {
    this->rows[{table, "", key}] = Row{value.dump(), ++this->version, false};
  }
  void Remove(const std::string& table, const std::string& key) {
    this->rows[{table, "", key}] = Row{"", ++this->version, true};
  }
  Json Read(const std::map<std::string, std::string>& query) const {
    const auto at = [&](const char* name) {
      const auto found = query.find(name);
      return found == query.end() ? std::string() : found->second;
    };
    const std::string to = at("To");
    std::size_t limit = at("Limit").empty() ? 500 : std::stoul(at("Limit"));
    limit = std::min<std::size_t>(limit, 500);
    Json out = Json::array();
    bool more = false;
    for (auto row =
             this->rows.lower_bound({at("Table"), at("part"), at("From")});
         row != this->rows.end() && std::get<0>(row->first) == at("Table") &&
         std::get<1>(row->first) == at("part") &&
         (to.empty() || std::get<2>(row->first) < to);
         ++row) {
      if (row->second.gone) {
        continue;
      }
      if (out.size() == limit) {
        more = true;
        break;
      }
      out.push_back(RowJson(row->first, row->second));
    }
    return Answer(std::move(out), more);
  }
  // Returns null if nothing has changed.
  Json Changes(const std::string& table, std::uint64_t after) const {
    std::map<std::uint64_t, Json> changed;
    for (auto row = this->rows.lower_bound({table, "", ""});
         row != this->rows.end() && std::get<0>(row->first) == table; ++row) {
      if (row->second.version > after) {
        Json& list = changed[row->second.version];
        list = list.is_null() ? Json::array() : list;
        list.push_back(RowJson(row->first, row->second));
      }
    }
    if (changed.empty()) {
      return nullptr;
    }
    Json out = Json::array();
    for (const auto& [version_of, list] : changed) {
      for (const Json& row : list) {
        out.push_back(row);
      }
    }
    return Answer(std::move(out), false);
  }
  Json Answer(Json list, bool more) const {
    return Json{{"rows", std::move(list)},
                {"HasMore", more},
                {"Ver", this->version},
                {"NowMs", static_cast<std::int64_t>(NowMs())}};
  }
  std::optional<std::string> Value(const Key& key) const {
    const auto found = this->rows.find(key);
    return found == this->rows.end() || found->second.gone
               ? std::nullopt
               : std::optional(found->second.value);
  }

 private:
  static Key KeyOf(const Json& row) {
    return {row.at("Table").get<std::string>(), row.value("part", ""),
            row.at("Key").get<std::string>()};
  }
  static Json RowJson(const Key& key, const Row& row) {
    Json out{{"Table", std::get<0>(key)},
             {"part", std::get<1>(key)},
             {"Key", std::get<2>(key)},
             {"Ver", row.version}};
    if (row.gone) {
      out["Tombstone"] = true;
    } else {
      out["Value"] = ToBase64(row.value);
    }
    return out;
  }

  std::map<Key, Row> rows;
  std::uint64_t version = 10;
};

//-----------------------------------------------------------------------------
// [SECTION] Executors
//-----------------------------------------------------------------------------

struct TaskName {
  std::string job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  static TaskName Of(const std::string& text) {
    TaskName name;
    const auto first = text.find('.');
    const auto second = text.find('.', first + 1);
    const auto third = text.find('.', second + 1);
    name.job = text.substr(0, first);
    name.occurrence = std::stoi(text.substr(first + 1));
    name.step = std::stoi(text.substr(second + 1));
    name.index = std::stoi(text.substr(third + 1));
    return name;
  }
  std::string Step() const {
    return this->job + "." + std::to_string(this->occurrence) + "." +
           std::to_string(this->step);
  }
};

// A submission of the test. `ms` is the time that a task of each step works,
// `fails` the steps of which every run fails.
struct Submission {
  std::string id;
  std::string queue;
  std::string service;
  std::string tenant;
  std::string spec;
  Json steps = Json::array();
  std::vector<double> ms;
  std::set<int> fails;
  int times = 0;
  std::int64_t start_at = 0;
  std::int64_t interval = 0;
  bool advice = false;
  int max_attempts = 3;
  bool sent = false;
  bool accepted = false;
  double cancel_acked = 0;
  std::string state;
};

struct Run {
  std::string task;
  TaskName name;
  const Submission* submission = nullptr;
  const Json* step = nullptr;
  bool idle = false;  // lasts, and has nothing to do but to be stopped
  std::uint64_t number = 0;
  double started = 0;
  double work_from = -1;  // -1: a gang that is not complete
  double saved = 0;       // work that its checkpoint holds
  double base = 0;        // work done before this run
  double stop_at = -1;    // a stop was ordered
  int pace = 100;
  std::string checkpoint;
};

struct End {
  std::uint64_t number = 0;
  std::string task;
  std::uint64_t run = 0;
  std::string how;
  std::string saved;
  double at = 0;
};

struct Executor {
  std::string id;
  std::string machine;
  std::string service;
  std::string zone;
  std::string rack;
  int listener = -1;
  bool up = false;
  bool listed = false;
  bool draining = false;
  double silent_until = 0;  // handles and answers nothing before
  double mute_until = 0;    // handles, but answers nothing before
  Json capacity;
  std::int64_t born = 0;
  double clock_zero = 0;
  std::uint64_t fence = 0;
  double lease_until = 0;  // on NowMs()
  std::map<std::string, Run> running;
  std::map<std::string, std::int64_t> used;      // by kind, of those running
  std::map<std::string, int> of_step;            // running tasks
  std::map<std::string, std::uint64_t> highest;  // stopped or ended
  std::deque<End> ended;
  std::uint64_t last_end = 0;
  double last_lapse = 0;
  std::uint64_t seq = 0;

  std::int64_t Clock() const {
    return static_cast<std::int64_t>(NowMs() - this->clock_zero);
  }
};

//-----------------------------------------------------------------------------
// [SECTION] Platform
//-----------------------------------------------------------------------------

struct PlatformOptions {
  double tx_ms = 4;
  double hold_max_ms = 10000;
  double stop_ms = 300;
  double gang_ms = 3000;
  double checkpoint_ms = 1000;
  double restore_ms = 100;
  double decide_ms = 20;
  double each_ms = 1;
  double valid_ms = 0;  // of tickets; 0: as long as the executor lives
  double move_ms = 1500;
  double upkeep_ms = 2000;
  int advice_share = 2;  // one worker in so many may run a step
};

class Platform {
 public:
  Platform(PlatformOptions options, Record* record)
      : options(options), record(record) {
    this->store_listener = this->net.Listen();
  }
  ~Platform() { this->Stop(); }
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;

  void Start() {
    this->thread = std::thread([this] {
      while (!this->ending) {
        this->net.Poll(&this->mutex,
                       [this](Request request) { this->Handle(request); });
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->Advance();
      }
    });
  }
  void Stop() {
    this->ending = true;
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }
  std::string StoreAddress() const {
    return "127.0.0.1:" + std::to_string(this->net.Port(this->store_listener));
  }

  // The caller holds `mutex`, or the platform has not started.
  Executor* Add(const std::string& service,
                const std::string& zone,
                const std::string& rack,
                int cpu,
                int memory,
                const std::string& machine = "") {
    auto owned = std::make_unique<Executor>();
    Executor* executor = owned.get();
    executor->id = "ex-" + std::to_string(++this->last_executor);
    executor->machine =
        machine.empty() ? "ma-" + std::to_string(this->last_executor) : machine;
    executor->service = service;
    executor->zone = zone;
    executor->rack = rack;
    executor->capacity = Json{{"Cpu", cpu}, {"MemMb", memory}, {"Gpu", 0}};
    executor->listener = this->net.Listen();
    executor->up = true;
    executor->born = UnixMs();
    executor->clock_zero = NowMs();
    this->of_listener[executor->listener] = executor;
    this->machine_state[executor->machine] = "up";
    this->executors.push_back(std::move(owned));
    this->Write(executor);
    return executor;
  }
  void Write(Executor* executor) {
    Json row{
        {"Service", executor->service},
        {"Address",
         "127.0.0.1:" + std::to_string(this->net.Port(executor->listener))},
        {"Zone", executor->zone},
        {"Version", "1"},
        {"Slots", 8},
        {"State", executor->draining ? "draining" : "ready"},
        {"Seq", ++executor->seq},
        {"born", executor->born},
        {"Machine", executor->machine},
        {"Capacity", executor->capacity},
        {"Labels", Json::array({"a", executor->rack})}};
    this->store.Put("servers", executor->id, row);
    executor->listed = true;
  }
  void Unlist(Executor* executor) {
    if (executor->listed) {
      this->store.Remove("servers", executor->id);
      executor->listed = false;
    }
  }
  // The process ends at once; nothing of it is left.
  void Crash(Executor* executor, bool silent) {
    std::vector<std::string> tasks;
    for (const auto& [task, run] : executor->running) {
      tasks.push_back(task);
    }
    for (const std::string& task : tasks) {
      const TaskName name = TaskName::Of(task);
      if (executor->running.contains(task) &&
          this->submissions.at(name.job)
              .steps.at(static_cast<std::size_t>(name.step))
              .value("Gang", false)) {
        const auto members =
            this->Members(name, executor->running.at(task).number);
        this->Displace(executor, task);
        this->BreakOthers(members, task);
      }
    }
    executor->up = false;
    this->of_listener.erase(executor->listener);
    this->crashed_port[executor] = this->net.Port(executor->listener);
    this->net.Shut(executor->listener, silent);
    while (!executor->running.empty()) {
      this->Displace(executor, std::string(executor->running.begin()->first));
    }
    executor->ended.clear();
    this->Say("crash " + executor->id);
  }
  // Starts again under its id and at its address; it knows nothing of before.
  void Restart(Executor* executor) {
    executor->listener = this->net.Listen(this->crashed_port[executor]);
    if (executor->listener < 0) {
      executor->listener = this->net.Listen();  // the port is in use
    }
    executor->up = true;
    executor->highest.clear();
    executor->fence = 0;
    executor->last_end = 0;
    executor->lease_until = 0;
    executor->seq = 0;
    executor->last_lapse = 0;
    executor->born = UnixMs();
    executor->clock_zero = NowMs();
    this->of_listener[executor->listener] = executor;
    this->Say("restart " + executor->id + " born " +
              std::to_string(executor->born));
  }

  void Say(const std::string& text) { this->record->Line(text); }
  void Broken(const std::string& rule, const std::string& what) {
    this->broken.push_back(rule + ": " + what);
    this->record->Line("BROKEN " + rule + ": " + what);
  }
  void After(double ms, std::function<void()> action) {
    this->timers.emplace(NowMs() + ms, std::move(action));
  }

  bool IsDone(const std::string& task) const {
    return this->done.contains(task);
  }

  PlatformOptions options;
  Record* record;
  std::mutex mutex;
  Net net;
  Store store;
  std::vector<std::unique_ptr<Executor>> executors;
  std::map<std::string, std::string> machine_state;
  std::map<std::string, Submission> submissions;
  std::vector<std::string> broken;
  std::set<std::string> done;         // tasks with a run that ended done
  std::map<std::string, int> starts;  // by task
  std::map<std::string, int> ends;    // by how they ended
  // Services to which a configuration has sent a queue.
  std::map<std::string, std::set<std::string>> sent_to;
  std::map<std::string, int> rejected;  // starts, by reason
  std::set<std::string> upkept;         // wave and machine, upkeep begun
  int advice_calls = 0;
  // Behaviour of the store.
  std::string store_mode;  // "", silent, busy, reset
  double store_extra_ms = 0;
  double fail_lasting_per_s = 0;  // ends of tasks that last, each
  double lost_share = 0;          // of writes: done and not answered
  double late_order_share = 0;    // of starts: not answered, carried out late
  std::function<bool(const Json&)> lose_write;  // chooses writes to lose
  // Chooses starts that get no answer and are carried out so much later.
  std::function<std::optional<double>(Executor*, const Json&)> delay_start;
  std::function<void(Executor*, const std::string&, const Json&)> on_order;

 private:
  struct Feed {
    std::uint64_t connection = 0;
    std::string table;
    std::uint64_t after = 0;
    double until = 0;
  };
  struct Hold {
    std::uint64_t connection = 0;
    Executor* executor = nullptr;
    int listener = 0;
    std::uint64_t fence = 0;
    double until = 0;
  };

  double Random() { return static_cast<double>(rand()) / RAND_MAX; }

  void Handle(const Request& request) {
    if (request.listener == this->store_listener) {
      this->HandleStore(request);
      return;
    }
    const auto found = this->of_listener.find(request.listener);
    if (found != this->of_listener.end()) {
      this->HandleExecutor(found->second, request);
    }
  }

  void HandleStore(const Request& request) {
    const bool table_call = request.path.starts_with("/v1/rows-");
    if (table_call && this->store_mode == "silent") {
      return;
    }
    if (table_call && this->store_mode == "busy") {
      this->net.Reply(request.connection, 503, nullptr);
      return;
    }
    if (table_call && this->store_mode == "reset") {
      this->net.Reset(request.connection);
      return;
    }
    if (request.path == "/v1/rows-tx") {
      const Json body = Json::parse(request.body);
      const auto [status, answer] = this->store.Transact(body);
      const bool lost =
          status == 200 && (this->Random() < this->lost_share ||
                            (this->lose_write && this->lose_write(body)));
      if (!lost) {
        this->Later(request.connection, status, answer);
      }
    } else if (request.path == "/v1/rows-get") {
      this->Later(request.connection, 200, this->store.Read(request.query));
    } else if (request.path == "/v1/rows-feed") {
      const auto at = [&](const char* name) {
        const auto found = request.query.find(name);
        return found == request.query.end() ? std::string() : found->second;
      };
      this->feeds.push_back(Feed{request.connection, at("Table"),
                                 std::stoull(at("After")),
                                 NowMs() + std::stod(at("WaitMs"))});
    } else if (request.path == "/v1/machines") {
      this->ListMachines(request);
    } else if (request.path == "/v1/machine-move" ||
               request.path == "/v1/machine-upkeep") {
      this->OrderMachine(request);
    } else if (request.path == "/v1/advise") {
      this->Advise(request);
    } else {
      this->net.Reply(request.connection, 404, nullptr);
    }
  }

  void Later(std::uint64_t connection, int status, const Json& body) {
    this->After(this->options.tx_ms + this->store_extra_ms,
                [this, connection, status, body] {
                  this->net.Reply(connection, status, body);
                });
  }

  void ListMachines(const Request& request) {
    Json list = Json::array();
    std::set<std::string> seen;
    for (auto entry = this->executors.rbegin(); entry != this->executors.rend();
         ++entry) {
      const Executor& executor = **entry;
      if (!seen.insert(executor.machine).second) {
        continue;
      }
      const std::string& state = this->machine_state[executor.machine];
      list.push_back(
          Json{{"Machine", executor.machine},
               {"Pool", executor.service},
               {"State", executor.up || state != "up" ? state : "down"},
               {"Zone", executor.zone},
               {"Labels", Json::array({"a", executor.rack})},
               {"Capacity", executor.capacity},
               {"Id", executor.id}});
    }
    this->net.Reply(request.connection, 200,
                    Json{{"Machines", list}, {"NextToken", ""}});
  }

  void OrderMachine(const Request& request) {
    const Json body = Json::parse(request.body);
    const std::string machine = body.at("Machine");
    Executor* executor = nullptr;
    for (const auto& entry : this->executors) {
      if (entry->machine == machine) {
        executor = entry.get();
      }
    }
    const auto header = [&](const char* name) {
      const auto found = request.headers.find(name);
      return found == request.headers.end() ? std::string() : found->second;
    };
    this->Say("machine " + request.path + " " + request.body + " holder " +
              header("duty-holder") + " fence " + header("fence-token"));
    if (executor == nullptr) {
      this->net.Reply(request.connection, 400, Json::object());
      return;
    }
    if (request.path == "/v1/machine-upkeep" &&
        this->upkept.contains(body.at("Wave").dump() + " " + machine)) {
      this->net.Reply(request.connection, 200, Json::object());
      return;
    }
    if (!executor->up || executor->draining ||
        this->machine_state[machine] != "up") {
      this->net.Reply(request.connection, 409, Json{{"Reason", "busy"}});
      return;
    }
    const bool move = request.path == "/v1/machine-move";
    const std::string pool =
        move ? body.at("Pool").get<std::string>() : executor->service;
    if (!move) {
      this->upkept.insert(body.at("Wave").dump() + " " + machine);
    }
    this->machine_state[machine] = move ? "moving" : "upkeep";
    this->Crash(executor, false);
    this->After(300, [this, executor] { this->Unlist(executor); });
    this->After(move ? this->options.move_ms : this->options.upkeep_ms,
                [this, executor, pool] {
                  this->Add(pool, executor->zone, executor->rack,
                            executor->capacity.at("Cpu"),
                            executor->capacity.at("MemMb"), executor->machine);
                });
    this->net.Reply(request.connection, 200, Json::object());
  }

  // The policy: the same workers for a step at all times, the first two among
  // them.
  bool Allows(const std::string& step, const Executor& executor) const {
    if (executor.machine == "ma-1" || executor.machine == "ma-2") {
      return true;
    }
    unsigned hash = 17;
    for (const char c : step + "/" + executor.machine) {
      hash = hash * 31 + static_cast<unsigned char>(c);
    }
    return hash / 7 % static_cast<unsigned>(this->options.advice_share) == 0;
  }

  void Advise(const Request& request) {
    const Json body = Json::parse(request.body);
    const std::string step = body.at("Step");
    ++this->advice_calls;
    const double took =
        this->options.decide_ms +
        this->options.each_ms * static_cast<double>(body.at("Workers").size());
    this->advice_free = std::max(this->advice_free, NowMs()) + took;
    this->After(this->advice_free - NowMs(), [this, request, body, step] {
      Json good = Json::array();
      for (const Json& worker : body.at("Workers")) {
        for (const auto& executor : this->executors) {
          if (executor->id == worker.get<std::string>() && executor->up &&
              this->Allows(step, *executor)) {
            const std::string ticket =
                "t" + std::to_string(++this->last_ticket);
            this->tickets[ticket] = Ticket{
                step, executor->id, executor->born,
                this->options.valid_ms > 0 ? NowMs() + this->options.valid_ms
                                           : 1e18};
            good.push_back(Json::array({executor->id, ticket}));
          }
        }
      }
      this->Say("advise " + step + " " + body.at("Workers").dump() + " -> " +
                good.dump());
      this->net.Reply(
          request.connection, 200,
          Json{{"Good", good}, {"ValidMs", this->options.valid_ms}});
    });
  }

  void HandleExecutor(Executor* executor, const Request& request) {
    const double now = NowMs();
    if (now < executor->silent_until) {
      return;
    }
    const auto expected = request.headers.find("expected-instance");
    if (expected != request.headers.end() && expected->second != executor->id) {
      this->net.Reply(request.connection, 421, Json::object());
      return;
    }
    const Json body = Json::parse(request.body);
    if (this->on_order) {
      this->on_order(executor, request.path, body);
    }
    if (request.path == "/v1/run-start") {
      std::optional<double> delay;
      if (this->delay_start) {
        delay = this->delay_start(executor, body);
      }
      if (!delay && this->Random() < this->late_order_share) {
        delay = 2000 + 3000 * this->Random();
      }
      if (delay) {
        this->Say("start held up " + executor->id + " " +
                  body.at("Task").get<std::string>() + " run " +
                  body.at("Run").dump());
        this->After(*delay, [this, executor, body] {
          if (executor->up) {
            this->StartRun(executor, body, true);
          }
        });
        return;
      }
      const auto [status, reason] = this->StartRun(executor, body, false);
      Json answer{{"ClockMs", executor->Clock()}};
      if (!reason.empty()) {
        answer["Reason"] = reason;
      }
      this->ReplyOrder(executor, request.connection, status, answer);
    } else if (request.path == "/v1/run-stop") {
      const std::uint64_t fence = body.value("FenceToken", std::uint64_t{0});
      Json answer{{"ClockMs", executor->Clock()}};
      if (fence < executor->fence) {
        answer["Reason"] = "fence";
        this->ReplyOrder(executor, request.connection, 409, answer);
        return;
      }
      executor->fence = fence;
      const std::string task = body.at("Task");
      const std::uint64_t run = body.at("Run");
      this->Say("stop " + executor->id + " " + task + " run " +
                std::to_string(run));
      const auto found = executor->running.find(task);
      if (found != executor->running.end() && found->second.number <= run) {
        if (found->second.stop_at < 0) {
          found->second.stop_at = now + this->options.stop_ms;
        }
      } else if (found == executor->running.end()) {
        executor->highest[task] = std::max(executor->highest[task], run);
      }
      this->ReplyOrder(executor, request.connection, 200, answer);
    } else if (request.path == "/v1/pace") {
      const auto found =
          executor->running.find(body.at("Task").get<std::string>());
      if (found != executor->running.end()) {
        found->second.pace = body.at("Percent");
      }
      this->ReplyOrder(executor, request.connection, 200,
                       Json{{"ClockMs", executor->Clock()}});
    } else if (request.path == "/v1/hold") {
      this->HoldCall(executor, request, body);
    } else {
      this->net.Reply(request.connection, 404, nullptr);
    }
  }

  void ReplyOrder(Executor* executor,
                  std::uint64_t connection,
                  int status,
                  const Json& body) {
    if (NowMs() >= executor->mute_until) {
      this->net.Reply(connection, status, body);
    }
  }

  void HoldCall(Executor* executor, const Request& request, const Json& body) {
    const std::uint64_t fence = body.value("FenceToken", std::uint64_t{0});
    if (fence < executor->fence) {
      this->ReplyOrder(
          executor, request.connection, 409,
          Json{{"ClockMs", executor->Clock()}, {"Reason", "fence"}});
      return;
    }
    executor->fence = fence;
    this->Extend(executor, body.value("DeadlineMs", std::int64_t{0}));
    const std::uint64_t cursor = body.value("AckCursor", std::uint64_t{0});
    while (!executor->ended.empty() &&
           executor->ended.front().number <= cursor) {
      const End& end = executor->ended.front();
      if (executor->last_lapse < end.at) {
        this->OnAcknowledged(*executor, end);
      }
      executor->ended.pop_front();
    }
    this->holds.push_back(Hold{request.connection, executor, executor->listener,
                               fence, NowMs() + body.value("WaitMs", 0.0)});
  }

  void OnAcknowledged(const Executor& executor, const End& end) {
    if (end.how == "done") {
      this->acknowledged_done.insert(end.task);
      const auto last = this->last_start.find(end.task);
      if (last != this->last_start.end() && last->second > end.at) {
        this->Broken("TWICE", "started after the run that ended done, " +
                                  end.task + " on " + executor.id);
      }
    } else if (end.how == "failed") {
      this->acknowledged_failed[end.task].insert(end.run);
    }
  }

  void Extend(Executor* executor, std::int64_t deadline) {
    if (deadline <= 0) {
      return;
    }
    const double until =
        std::min(executor->clock_zero + static_cast<double>(deadline),
                 NowMs() + this->options.hold_max_ms);
    executor->lease_until = std::max(executor->lease_until, until);
  }

  std::pair<int, std::string> StartRun(Executor* executor,
                                       const Json& body,
                                       bool late) {
    this->Lapse(executor);
    const std::uint64_t fence = body.value("FenceToken", std::uint64_t{0});
    const std::string task = body.at("Task");
    const std::uint64_t run = body.at("Run");
    const std::string label = "start " + executor->id + " " + task + " run " +
                              std::to_string(run) + (late ? " late" : "");
    const auto reject = [&](const char* reason) {
      ++this->rejected[reason];
      if (this->rejected[reason] <= 200) {
        this->Say(label + " -> 409 " + reason);
      }
      return std::pair<int, std::string>{409, reason};
    };
    if (fence < executor->fence) {
      return reject("fence");
    }
    executor->fence = fence;
    const std::int64_t deadline = body.at("DeadlineMs");
    if (deadline <= executor->Clock()) {
      return reject("late");
    }
    this->Extend(executor, deadline);
    const auto present = executor->running.find(task);
    if (present != executor->running.end() && present->second.number == run) {
      return {200, ""};
    }
    const auto highest = executor->highest.find(task);
    if (present != executor->running.end() ||
        (highest != executor->highest.end() && run <= highest->second)) {
      return reject("old");
    }
    const TaskName name = TaskName::Of(task);
    const auto found = this->submissions.find(name.job);
    if (found == this->submissions.end() || !found->second.sent) {
      this->Broken("UNASKED", label + ": no client sent this");
      return reject("room");
    }
    const Submission& submission = found->second;
    const Json& step = submission.steps.at(static_cast<std::size_t>(name.step));
    if (submission.advice) {
      const auto ticket = this->tickets.find(body.value("Ticket", ""));
      if (ticket == this->tickets.end() || ticket->second.step != name.Step() ||
          ticket->second.executor != executor->id ||
          ticket->second.born != executor->born ||
          ticket->second.until < NowMs()) {
        return reject("ticket");
      }
    }
    if (!this->HasRoom(*executor, step)) {
      return reject("room");
    }
    this->CheckStart(*executor, submission, name, task, run, body, label);
    Run started;
    started.task = task;
    started.number = run;
    started.started = NowMs();
    const std::string checkpoint = body.value("Checkpoint", "");
    started.checkpoint = checkpoint;
    if (!checkpoint.empty()) {
      started.base = started.saved =
          std::stod(checkpoint.substr(0, checkpoint.find('/')));
    }
    if (!step.value("Gang", false)) {
      started.work_from =
          NowMs() + (checkpoint.empty() ? 0 : this->options.restore_ms);
    }
    started.name = name;
    started.submission = &submission;
    started.step = &step;
    started.idle = step.value("LongRunning", false) &&
                   !step.value("Gang", false) &&
                   !step.value("Checkpointing", false);
    this->Place(executor, started);
    ++this->starts[task];
    this->last_start[task] = NowMs();
    this->Say(label + " -> 200");
    return {200, ""};
  }

  static std::int64_t Amount(const Json& of, const char* name) {
    return of.value(name, std::int64_t{0});
  }

  static std::int64_t Need(const Json& step, const std::string& kind) {
    return kind == "Cpu" && step.value("Fills", false)
               ? std::int64_t{0}
               : Amount(step, kind.c_str());
  }

  static bool HasRoom(const Executor& executor, const Json& step) {
    for (const char* kind : {"Cpu", "MemMb", "Gpu"}) {
      const auto used = executor.used.find(kind);
      if (Need(step, kind) + (used == executor.used.end() ? 0 : used->second) >
          Amount(executor.capacity, kind)) {
        return false;
      }
    }
    return true;
  }

  // Adds the run to the executor, or removes it.
  void Place(Executor* executor, const Run& run) {
    executor->running[run.task] = run;
    for (const char* kind : {"Cpu", "MemMb", "Gpu"}) {
      executor->used[kind] += Need(*run.step, kind);
    }
    ++executor->of_step[run.name.Step()];
    if (run.step->value("Gang", false)) {
      int& present = this->gang_present[{run.name.Step(), run.number}];
      if (++present == run.step->value("Count", 1)) {
        for (const auto& [of, member] : this->Members(run.name, run.number)) {
          of->running.at(member).work_from = NowMs();
        }
      }
    }
  }
  void Displace(Executor* executor, const std::string& task) {
    const Run run = executor->running.at(task);
    executor->running.erase(task);
    for (const char* kind : {"Cpu", "MemMb", "Gpu"}) {
      executor->used[kind] -= Need(*run.step, kind);
    }
    --executor->of_step[run.name.Step()];
    if (run.step->value("Gang", false)) {
      --this->gang_present[{run.name.Step(), run.number}];
    }
  }

  void CheckStart(const Executor& executor,
                  const Submission& submission,
                  const TaskName& name,
                  const std::string& task,
                  std::uint64_t run,
                  const Json& body,
                  const std::string& label) {
    const Json& step = submission.steps.at(static_cast<std::size_t>(name.step));
    if (body.value("Spec", "") != submission.spec) {
      this->Broken("UNASKED", label + ": another Spec");
    }
    const std::string checkpoint = body.value("Checkpoint", "");
    if (!checkpoint.empty()) {
      const std::string owner = step.value("Gang", false) ? name.Step() : task;
      if (!this->checkpoints[owner].contains(checkpoint)) {
        this->Broken("UNASKED", label + ": not a checkpoint of the task");
      }
    }
    if (submission.cancel_acked > 0 &&
        NowMs() - submission.cancel_acked > 3000) {
      this->Broken("UNASKED", label + ": cancelled long ago");
    }
    for (const auto& other : this->executors) {
      if (other->up && other.get() != &executor &&
          other->running.contains(task)) {
        this->Broken("TWICE",
                     label + ": runs on " + other->id + " as run " +
                         std::to_string(other->running.at(task).number));
      }
    }
    if (this->acknowledged_done.contains(task)) {
      this->Broken("TWICE", label + ": a run has ended done");
    }
    for (const Json& earlier : step.value("After", Json::array())) {
      const int number = earlier;
      const int count = submission.steps.at(static_cast<std::size_t>(number))
                            .value("Count", 1);
      for (int i = 0; i < count; ++i) {
        const std::string before =
            name.job + "." + std::to_string(name.occurrence) + "." +
            std::to_string(number) + "." + std::to_string(i);
        if (!this->IsDone(before)) {
          this->Broken("ORDER", label + ": " + before + " is not done");
        }
      }
    }
    if (submission.times > 0 &&
        UnixMs() <
            submission.start_at + name.occurrence * submission.interval - 250) {
      this->Broken("ORDER", label + ": before its time");
    }
    if (!this->sent_to[submission.queue].contains(executor.service)) {
      this->Broken("ROUTE", label + ": service " + executor.service);
    }
    const std::string required = step.value("Requires", "");
    if (!required.empty() && required != "a" && required != executor.rack) {
      this->Broken("ROUTE", label + ": label " + required);
    }
    const int apart = step.value("AntiAffinity", 0);
    const auto others = executor.of_step.find(name.Step());
    const int beside =
        1 + (others == executor.of_step.end() ? 0 : others->second);
    if (apart > 0 && beside > apart) {
      this->Broken("ROUTE", label + ": beyond AntiAffinity");
    }
    if (!step.value("LongRunning", false) &&
        static_cast<int>(this->acknowledged_failed[task].size()) >=
            submission.max_attempts) {
      this->Broken("BUDGET", label);
    }
    (void)run;
  }

  void EndRun(Executor* executor, const std::string task, const char* how) {
    const Run run = executor->running.at(task);
    this->Displace(executor, task);
    executor->highest[task] = std::max(executor->highest[task], run.number);
    End end{++executor->last_end, task,   run.number, how,
            run.checkpoint,       NowMs()};
    if (std::string(how) == "done") {
      this->done.insert(task);
      end.saved.clear();
    }
    ++this->ends[how];
    executor->ended.push_back(end);
    this->Say("end " + executor->id + " " + task + " run " +
              std::to_string(run.number) + " " + how);
  }

  void Lapse(Executor* executor) {
    if (NowMs() < executor->lease_until) {
      return;
    }
    executor->last_lapse = NowMs();
    while (!executor->running.empty()) {
      this->EndRun(executor, executor->running.begin()->first, "lapsed");
    }
  }

  // Returns the runs of a gang, by executor and task.
  std::vector<std::pair<Executor*, std::string>> Members(const TaskName& name,
                                                         std::uint64_t run) {
    std::vector<std::pair<Executor*, std::string>> members;
    for (const auto& executor : this->executors) {
      for (const auto& [task, other] : executor->running) {
        if (other.number == run && other.name.job == name.job &&
            other.name.occurrence == name.occurrence &&
            other.name.step == name.step) {
          members.emplace_back(executor.get(), task);
        }
      }
    }
    return members;
  }

  void AdvanceExecutor(Executor* executor) {
    this->Lapse(executor);
    const double now = NowMs();
    std::vector<std::string> tasks;
    for (const auto& [task, run] : executor->running) {
      if (!run.idle || run.stop_at >= 0 || this->fail_lasting_per_s > 0) {
        tasks.push_back(task);
      }
    }
    for (const std::string& task : tasks) {
      const auto found = executor->running.find(task);
      if (found == executor->running.end()) {
        continue;
      }
      Run& run = found->second;
      const TaskName name = run.name;
      const Submission& submission = *run.submission;
      const Json& step = *run.step;
      const bool gang = step.value("Gang", false);
      if (run.stop_at >= 0 && now >= run.stop_at) {
        const auto members =
            gang ? this->Members(name, run.number)
                 : std::vector<std::pair<Executor*, std::string>>{};
        this->EndRun(executor, task, "stopped");
        this->BreakOthers(members, task);
        continue;
      }
      if (gang && run.work_from < 0) {
        if (now - run.started > this->options.gang_ms) {
          this->EndRun(executor, task, "alone");
        }
        continue;
      }
      if (now < run.work_from) {
        continue;
      }
      const double worked = run.base + (now - run.work_from);
      if (step.value("Checkpointing", false) &&
          worked - run.saved >= this->options.checkpoint_ms) {
        run.saved = worked;
        run.checkpoint = std::to_string(static_cast<int>(worked)) + "/" +
                         (gang ? name.Step() : task);
        this->checkpoints[gang ? name.Step() : task].insert(run.checkpoint);
      }
      const double needed =
          submission.ms.at(static_cast<std::size_t>(name.step));
      if (step.value("LongRunning", false)) {
        if (this->fail_lasting_per_s > 0 &&
            this->Random() < this->fail_lasting_per_s * 0.009) {
          this->EndRun(executor, task, "failed");
        }
        continue;
      }
      const bool fails = submission.fails.contains(name.step);
      if (worked < (fails ? std::min(needed, 100.0) : needed)) {
        continue;
      }
      const auto members =
          gang ? this->Members(name, run.number)
               : std::vector<std::pair<Executor*, std::string>>{};
      this->EndRun(executor, task, fails ? "failed" : "done");
      if (gang && !fails) {
        for (const auto& [of, member] : members) {
          if (member != task || of != executor) {
            this->EndRun(of, member, "done");
          }
        }
      } else {
        this->BreakOthers(members, task);
      }
    }
  }

  void BreakOthers(
      const std::vector<std::pair<Executor*, std::string>>& members,
      const std::string& task) {
    for (const auto& [of, member] : members) {
      if (member != task && of->running.contains(member)) {
        this->EndRun(of, member, "broken");
      }
    }
  }

  Json Report(Executor* executor) const {
    Json running = Json::array();
    for (const auto& [task, run] : executor->running) {
      const TaskName& name = run.name;
      const Submission& submission = *run.submission;
      const Json& step = *run.step;
      int percent = 0;
      if (run.work_from >= 0 && NowMs() >= run.work_from) {
        const double worked = run.base + NowMs() - run.work_from;
        percent = step.value("LongRunning", false)
                      ? (worked > 200 ? 100 : 0)
                      : static_cast<int>(std::min(
                            99.0, 100 * worked /
                                      submission.ms.at(static_cast<std::size_t>(
                                          name.step))));
      }
      running.push_back(
          Json::array({task, run.number, run.checkpoint, percent, 0}));
    }
    Json ended = Json::array();
    for (const End& end : executor->ended) {
      if (ended.size() == 500) {
        break;
      }
      ended.push_back(
          Json::array({end.number, end.task, end.run, end.how, end.saved}));
    }
    return Json{{"ClockMs", executor->Clock()},
                {"born", executor->born},
                {"Running", running},
                {"Ended", ended}};
  }

  void Advance() {
    while (!this->timers.empty() && this->timers.begin()->first <= NowMs()) {
      const auto action = std::move(this->timers.begin()->second);
      this->timers.erase(this->timers.begin());
      action();
    }
    const bool due = NowMs() >= this->next_advance;
    this->next_advance = due ? NowMs() + 8 : this->next_advance;
    for (std::size_t i = 0; due && i < this->executors.size(); ++i) {
      if (this->executors[i]->up) {
        this->AdvanceExecutor(this->executors[i].get());
      }
    }
    const double now = NowMs();
    std::erase_if(this->holds, [&](const Hold& hold) {
      Executor* executor = hold.executor;
      if (!executor->up || hold.listener != executor->listener ||
          !this->net.Open(hold.connection)) {
        return true;
      }
      if (now < executor->silent_until || now < executor->mute_until) {
        return false;
      }
      if (executor->ended.empty() && now < hold.until) {
        return false;
      }
      this->net.Reply(hold.connection, 200, this->Report(executor));
      return true;
    });
    std::erase_if(this->feeds, [&](const Feed& feed) {
      if (!this->net.Open(feed.connection)) {
        return true;
      }
      if (!this->store_mode.empty()) {
        if (this->store_mode == "reset") {
          this->net.Reset(feed.connection);
          return true;
        }
        return now >= feed.until;  // no answer
      }
      const Json changes = this->store.Changes(feed.table, feed.after);
      if (changes.is_null() && now < feed.until) {
        return false;
      }
      const Json answer = changes.is_null()
                              ? this->store.Answer(Json::array(), false)
                              : changes;
      this->Later(feed.connection, 200, answer);
      return true;
    });
  }

  struct Ticket {
    std::string step;
    std::string executor;
    std::int64_t born = 0;
    double until = 0;
  };

  std::thread thread;
  std::atomic<bool> ending{false};
  int store_listener = -1;
  int last_executor = 0;
  std::map<int, Executor*> of_listener;
  std::map<Executor*, int> crashed_port;
  std::multimap<double, std::function<void()>> timers;
  std::vector<Feed> feeds;
  std::vector<Hold> holds;
  std::map<std::string, Ticket> tickets;
  int last_ticket = 0;
  double advice_free = 0;
  double next_advance = 0;
  std::map<std::string, double> last_start;
  std::map<std::pair<std::string, std::uint64_t>, int> gang_present;
  std::set<std::string> acknowledged_done;
  std::map<std::string, std::set<std::uint64_t>> acknowledged_failed;
  std::map<std::string, std::set<std::string>> checkpoints;
};

//-----------------------------------------------------------------------------
// [SECTION] Daemons and clients
//-----------------------------------------------------------------------------

inline int FreePort() {
  static int next = 21000 + static_cast<int>(getpid()) % 500 * 20;
  for (;;) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(++next));
    const bool free =
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    if (free) {
      return next;
    }
  }
}

// A process of the system, started as the deploy file says.
class Daemon {
 public:
  Daemon(std::string program,
         const std::string& folder,
         const std::string& name,
         const std::string& zone,
         const std::string& store,
         double share = 0.25)
      : program(std::move(program)),
        name(name),
        settings(folder + "/" + name + ".yaml"),
        log(folder + "/" + name + ".log"),
        frontend(FreePort()),
        ready(FreePort()) {
    std::ofstream(this->settings)
        << "Node: \"" << name
        << "\"\nRole: \"daemon\"\nMachineClass: \"edge\"\n"
        << "Serves:\n  - \"edge\"\nIp: \"127.0.0.1\"\nZone: \"" << zone
        << "\"\nRegion: \"r\"\nZones:\n  z1: \"r\"\n  z2: \"r\"\n"
        << "ListenAddrs:\n  Frontend: \"127.0.0.1:" << this->frontend
        << "\"\n  Ready: \"127.0.0.1:" << this->ready
        << "\"\nInternalPorts:\n  - " << FreePort() << "\n  - " << FreePort()
        << "\nSeeds: []\nBootstrap: true\nFaultCounted: false\n"
        << "Limits:\n  CpuShare: " << share
        << "\n  Cores: 1\n  MemoryMb: 260\n  MaxFds: 4100\n"
        << "  LinkMbps: 1000.0\n  DiskMb: 0\nDataDir: null\n"
        << "Discovery: \"platform\"\nEntry: \"vip\"\nHeartbeatMs: 1500\n"
        << "Bounds:\n  ContactMs: 3000\n  AckMs: 4000\n  DrainMs: 2000\n"
        << "  GraceS: 6\n  ConfigApplyMs: 2000\n  HoldMaxMs: 10000\n"
        << "  StopMs: 900\n  GangMs: 3000\n  cancel_ms: 3000\n"
        << "  visible_ms: 3000\n  early_ms: 250\n  finish_s: 14\n"
        << "  status_s: 120\n  RemoteFactor: 3\n  CheckpointS: 2\n"
        << "  RestoreMs: 100\n  MoveS: 1.5\n  UpkeepS: 2\n"
        << "  FencingRequired: false\n  LeaseMs: 3000\n"
        << "Orders: \"call\"\nAdvice: \"" << store << "\"\nplatform:\n"
        << "  Address: \"" << store << "\"\n  form: \"table\"\n"
        << "  WritesPerS: 800\n  ReadsPerS: 2000\n  TxMs: 4.0\n"
        << "  PartWritesS: 250\n  RowBytes: 65536\n  Across: true\n"
        << "  HistoryS: 20\n  BlobBytes: 8388608\n  BlobMs: 25.0\n"
        << "  BlobMbS: 80.0\nCloudApi:\n  Address: \"" << store
        << "\"\n  RatePerS: 64.0\n  Duties: []\n  DutyPerS: 64.0\n";
  }
  ~Daemon() { this->Kill(); }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  void Start() {
    this->pid = fork();
    if (this->pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd =
          open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      setenv("PERIDOTWORKS_NODE_FILE", this->settings.c_str(), 1);
      execl(this->program.c_str(), this->program.c_str(),
            static_cast<char*>(nullptr));
      _exit(127);
    }
  }
  void Signal(int number) const {
    if (this->pid > 0) {
      kill(this->pid, number);
    }
  }
  void Kill() {
    if (this->pid > 0) {
      kill(this->pid, SIGCONT);
      kill(this->pid, SIGKILL);
      waitpid(this->pid, nullptr, 0);
      this->pid = -1;
    }
  }
  // Returns whether the process has ended by itself.
  bool Ended(int* status) {
    if (this->pid > 0 && waitpid(this->pid, status, WNOHANG) == this->pid) {
      this->pid = -1;
      return true;
    }
    return this->pid < 0;
  }
  bool Running() const { return this->pid > 0; }
  pid_t PidOf() const { return this->pid; }

  std::string program;
  std::string name;
  std::string settings;
  std::string log;
  int frontend;
  int ready;

 private:
  pid_t pid = -1;
};

struct Answer {
  int status = 0;  // 0: no answer
  std::string body;
};

// One call on a new connection.
inline Answer Call(int port,
                   const std::string& method,
                   const std::string& path,
                   const std::string& body,
                   const std::string& key = "",
                   double timeout_ms = 3000) {
  Answer answer;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval limit{};
  limit.tv_sec = static_cast<long>(timeout_ms / 1000);
  limit.tv_usec = static_cast<long>(timeout_ms * 1000) % 1000000;
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(fd);
    return answer;
  }
  std::string text = method + " " + path +
                     " HTTP/1.1\r\nHost: a.example\r\n"
                     "Content-Type: application/json\r\nDeadline-Ms: 3000\r\n";
  if (!key.empty()) {
    text += "X-Api-Key: " + key + "\r\n";
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  send(fd, text.data(), text.size(), MSG_NOSIGNAL);
  std::string in;
  const double end = NowMs() + timeout_ms;
  while (NowMs() < end) {
    char buffer[8192];
    const ssize_t got = recv(fd, buffer, sizeof(buffer), 0);
    if (got <= 0) {
      break;
    }
    in.append(buffer, static_cast<std::size_t>(got));
    const auto head = in.find("\r\n\r\n");
    if (head == std::string::npos) {
      continue;
    }
    const auto length = in.find("Content-Length: ");
    const std::size_t size =
        length == std::string::npos ? 0 : std::stoul(in.substr(length + 16));
    if (in.size() >= head + 4 + size) {
      answer.status = std::stoi(in.substr(9));
      answer.body = in.substr(head + 4, size);
      break;
    }
  }
  close(fd);
  return answer;
}

}  // namespace review

#endif  // REVIEW_KIT_3_SIM_H_
