// Stand-in for the platform's object store.

#include <utility>

#include "stand_ins/http_shell.h"
#include "stand_ins/object_store.h"
#include "stand_ins/store_shell.h"

namespace peridot::stand_ins {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxBody = std::size_t{8} << 20;

std::optional<HttpReply> WriteReply(ObjectWriteOutcome outcome) {
  switch (outcome) {
    case ObjectWriteOutcome::kDone:
      return JsonReply(200, json::object());
    case ObjectWriteOutcome::kExists:
      return ErrorReply(412, "the object exists");
    case ObjectWriteOutcome::kAbsent:
      return ErrorReply(404, "there is no such object");
    case ObjectWriteOutcome::kUnknown:
      break;
  }
  return std::nullopt;
}

class ObjectShell {
 public:
  explicit ObjectShell(ShellLoop& loop) : loop(loop) {}

  void Handle(HttpServer& server, const HttpRequest& request) {
    if (request.Is("POST", "/v1/fault")) {
      return server.Reply(request.id,
                          SetStoreFaults(&this->store, request.body));
    }
    StoreOperation operation = this->OperationFor(request);
    if (!operation) {
      return server.Reply(request.id,
                          ErrorReply(404, "there is no such resource"));
    }
    RespondWithLatency(this->loop, server, request.id,
                       this->store.Faults().latency, std::move(operation));
  }

 private:
  StoreOperation OperationFor(const HttpRequest& request) {
    if (request.Is("GET", "/v1/objects")) {
      const std::string prefix = request.Parameter("prefix").value_or("");
      return [this, prefix] { return this->List(prefix); };
    }
    const std::optional<std::string> name = request.PathBetween("/v1/objects/");
    if (!name)
      return nullptr;
    if (request.method == "GET")
      return [this, name = *name] { return this->Get(name); };
    if (request.method == "DELETE")
      return [this, name = *name] { return this->Delete(name); };
    if (request.method != "PUT")
      return nullptr;
    return [this, name = *name, bytes = request.body,
            create_only = request.Header("if-none-match") == "*"] {
      return this->Put(name, bytes, create_only);
    };
  }

  HttpReply List(const std::string& prefix) {
    const auto names = this->store.List(prefix, this->loop.Now());
    if (!names)
      return ErrorReply(names.error());
    return JsonReply(200, {{"names", names.value()}});
  }

  HttpReply Get(const std::string& name) {
    auto bytes = this->store.Get(name, this->loop.Now());
    if (!bytes)
      return ErrorReply(bytes.error());
    HttpReply reply;
    reply.content_type = "application/octet-stream";
    reply.body = std::move(bytes).value();
    return reply;
  }

  std::optional<HttpReply> Put(const std::string& name,
                               const std::string& bytes,
                               bool create_only) {
    const auto outcome =
        this->store.Put(name, bytes, create_only, this->loop.Now());
    if (!outcome)
      return ErrorReply(outcome.error());
    return WriteReply(outcome.value());
  }

  std::optional<HttpReply> Delete(const std::string& name) {
    const auto outcome = this->store.Delete(name, this->loop.Now());
    if (!outcome)
      return ErrorReply(outcome.error());
    return WriteReply(outcome.value());
  }

  ShellLoop& loop;
  ObjectStore store;
};

int Main(int argc, char** argv) {
  return RunStoreProgram<ObjectShell>("stand_in_objects", kMaxBody, argc, argv);
}

}  // namespace
}  // namespace peridot::stand_ins

int main(int argc, char** argv) {
  return peridot::stand_ins::Main(argc, argv);
}
