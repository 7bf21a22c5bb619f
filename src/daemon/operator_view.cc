#include "src/daemon/operator_view.h"

#include <utility>

#include "src/transport/log.h"

namespace peridot {

OperatorView::OperatorView(EventLoop* loop, const FleetPorts* ports)
    : ports(ports),
      config(std::make_shared<OperatorConfig>()),
      follower(
          loop,
          ports,
          TableFollowerConfig{.table = ports->operator_table, .parts = {""}},
          {.on_row = [this](const StoreRow& row) { this->OnRow(row); },
           .on_batch = [this] { this->on_change(); },
           .on_synced = [this] { this->on_change(); }}) {}

void OperatorView::Start(std::function<void()> changed) {
  this->on_change = std::move(changed);
  this->follower.Start();
}

void OperatorView::OnRow(const StoreRow& row) {
  if (row.removed) {
    if (this->zones_out.erase(row.key.key) > 0) {
      LogEvent(LogLevel::kInfo, "zone_in", {{"key", row.key.key}});
    }
    this->waves.erase(row.key.key);
    return;
  }
  Result<OperatorRow> decoded = this->ports->decode_operator_row(row);
  if (!decoded) {
    LogError(LogLevel::kError, "operator_row_skipped", decoded.error());
    return;
  }
  OperatorRow& value = decoded.value();
  if (value.zone_out) {
    LogEvent(LogLevel::kInfo, "zone_out",
             {{"zone", value.zone_out->value},
              {"row_version", std::to_string(row.version.value)}});
    this->zones_out[row.key.key] = *value.zone_out;
  }
  if (value.wave) {
    LogEvent(LogLevel::kInfo, "wave",
             {{"wave", value.wave->name},
              {"hosts", std::to_string(value.wave->hosts.size())},
              {"max_down", std::to_string(value.wave->max_down)}});
    this->waves[row.key.key] = *value.wave;
  }
  if (value.config && value.config->version > this->config->version) {
    LogEvent(LogLevel::kInfo, "config",
             {{"version", std::to_string(value.config->version.value)},
              {"before", std::to_string(this->config->version.value)},
              {"queues", std::to_string(value.config->routes.size())},
              {"row_version", std::to_string(row.version.value)}});
    this->config = std::make_shared<OperatorConfig>(std::move(*value.config));
  }
}

std::set<ZoneId> OperatorView::ZonesOut() const {
  std::set<ZoneId> zones;
  for (const auto& [key, zone] : this->zones_out) {
    zones.insert(zone);
  }
  return zones;
}

std::vector<MaintenanceWave> OperatorView::Waves() const {
  std::vector<MaintenanceWave> all;
  for (const auto& [key, wave] : this->waves) {
    all.push_back(wave);
  }
  return all;
}

}  // namespace peridot
