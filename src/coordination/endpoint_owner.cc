#include "src/coordination/endpoint_owner.h"

#include <xxhash.h>

#include <cstdint>

namespace peridot {
namespace {

std::uint64_t Weight(const EndpointId& endpoint, const DaemonId& daemon) {
  const std::uint64_t seed =
      XXH3_64bits(daemon.value.data(), daemon.value.size());
  return XXH3_64bits_withSeed(endpoint.value.data(), endpoint.value.size(),
                              seed);
}

}  // namespace

const DaemonId* EndpointOwner(const EndpointId& endpoint,
                              std::span<const DaemonId> daemons) {
  const DaemonId* owner = nullptr;
  std::uint64_t highest = 0;
  for (const DaemonId& daemon : daemons) {
    const std::uint64_t weight = Weight(endpoint, daemon);
    const bool first = owner == nullptr;
    const bool higher =
        weight > highest || (weight == highest && !first && daemon < *owner);
    if (first || higher) {
      owner = &daemon;
      highest = weight;
    }
  }
  return owner;
}

}  // namespace peridot
