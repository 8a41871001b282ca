#include "lab/stats/run_stats.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace fernward::lab {
namespace {

constexpr std::size_t kMaxSlices = 1024, kMinSlices = 64; // range of the limit, by the number of machines
constexpr std::size_t kMaxMachineSlices = std::size_t{1} << 22; // sum over all machines

std::size_t slice_limit(std::size_t machines) {
  return std::clamp(kMaxMachineSlices / std::max<std::size_t>(1, machines), kMinSlices, kMaxSlices);
}

void merge(MachineTimeSlice& into, const MachineTimeSlice& from) {
  into.utilization_sum += from.utilization_sum;
  into.sample_count += from.sample_count;
  into.attempts += from.attempts;
}

template <typename T, typename Merge>
void merge_adjacent(std::vector<T>& items, Merge merge_item) {
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (i % 2 == 1) {
      merge_item(items[i / 2], items[i]);
    } else if (i > 0) {
      items[i / 2] = std::move(items[i]);
    }
  }
  items.resize((items.size() + 1) / 2);
}

template <typename T, typename Merge>
void merge_elementwise(std::vector<T>& into, const std::vector<T>& from, Merge merge_item) {
  if (into.size() < from.size()) into.resize(from.size());
  for (std::size_t i = 0; i < from.size(); ++i) merge_item(into[i], from[i]);
}

void merge_named(std::vector<NamedRequestStats>& into, const std::vector<NamedRequestStats>& from) {
  if (into.size() != from.size())
    throw std::invalid_argument("the runs to merge have different classes, tenants, zones or routers");
  for (std::size_t i = 0; i < into.size(); ++i) {
    if (into[i].name != from[i].name)
      throw std::invalid_argument("the runs to merge have different classes, tenants, zones or routers");
    into[i].request_stats.merge(from[i].request_stats);
  }
}

} // namespace

const std::array<const char*, kOutcomeCount> kOutcomeNames{"served",      "refused", "failed", "broken",
                                                           "unreachable", "silence", "left"};

std::uint64_t RequestStats::closed() const {
  std::uint64_t total_count = 0;
  for (const std::uint64_t count : outcome_counts) total_count += count;
  return total_count;
}

void RequestStats::merge(const RequestStats& other) {
  drawn += other.drawn;
  within_objective += other.within_objective;
  tries += other.tries;
  for (std::size_t i = 0; i < kOutcomeCount; ++i) outcome_counts[i] += other.outcome_counts[i];
  drawn_weight += other.drawn_weight;
  served_weight += other.served_weight;
  latency_histogram.merge(other.latency_histogram);
}

void TimeSlice::merge(const TimeSlice& other) {
  request_stats.merge(other.request_stats);
  attempts += other.attempts;
  origin_reads += other.origin_reads;
  origin_writes += other.origin_writes;
  hits += other.hits;
  misses += other.misses;
  rejected += other.rejected;
  errors += other.errors;
  handshakes += other.handshakes;
}

double hit_ratio(const TimeSlice& slice) {
  return slice.hits + slice.misses > 0
             ? static_cast<double>(slice.hits) / static_cast<double>(slice.hits + slice.misses)
             : 0;
}

TimeSlice RunStats::total() const {
  TimeSlice sum;
  for (const TimeSlice& slice : slices) sum.merge(slice);
  return sum;
}

void RunStats::double_slice_width() {
  slice_width_ms *= 2;
  merge_adjacent(slices, [](TimeSlice& into, const TimeSlice& from) { into.merge(from); });
  for (MachineStats& machine : machines)
    merge_adjacent(machine.slices,
                   static_cast<void (*)(MachineTimeSlice&, const MachineTimeSlice&)>(lab::merge));
}

void RunStats::merge(RunStats other) {
  while (slice_width_ms < other.slice_width_ms) double_slice_width();
  while (other.slice_width_ms < slice_width_ms) other.double_slice_width();
  if (slice_width_ms != other.slice_width_ms)
    throw std::invalid_argument("the slice widths of the runs are not multiples by a power of two");
  if (machines.size() != other.machines.size()) {
    throw std::invalid_argument("the runs to merge have different numbers of machines");
  }
  merge_named(classes, other.classes);
  merge_named(tenants, other.tenants);
  merge_named(zones, other.zones);
  merge_named(routers, other.routers);
  merge_elementwise(slices, other.slices, [](TimeSlice& into, const TimeSlice& from) { into.merge(from); });
  for (std::size_t i = 0; i < machines.size(); ++i) {
    merge_elementwise(machines[i].slices, other.machines[i].slices,
                      static_cast<void (*)(MachineTimeSlice&, const MachineTimeSlice&)>(lab::merge));
  }
  duration_ms = std::max(duration_ms, other.duration_ms);
  runs += other.runs;
}

// ---- collecting ----

StatsCollector::StatsCollector(const model::Spec& spec, const model::Plan& plan)
    : max_slices_(slice_limit(plan.machines.size())) {
  stats_.scenario = spec.name;
  stats_.title = spec.title;
  stats_.duration_ms = spec.duration_ms;
  stats_.origin_index = plan.origin;
  for (const auto& c : spec.classes) stats_.classes.push_back({c.name, {}});
  for (const auto& t : spec.tenants) stats_.tenants.push_back({t.name, {}});
  if (spec.tenants.empty()) stats_.tenants.push_back({"-", {}});
  for (const auto& z : spec.zones) stats_.zones.push_back({z.name, {}});
  for (const auto& r : plan.routers) stats_.routers.push_back({r.name, {}});
  for (const auto& m : plan.machines) stats_.machines.push_back({m.name, {}});
  for (const auto& e : spec.events) stats_.event_intervals.push_back({-1, -1, e.label});
}

std::size_t StatsCollector::slice_index(double at_ms) {
  at_ms = std::max(0.0, at_ms);
  while (at_ms >= stats_.slice_width_ms * static_cast<double>(max_slices_)) stats_.double_slice_width();
  const auto index = static_cast<std::size_t>(at_ms / stats_.slice_width_ms);
  if (index >= stats_.slices.size()) stats_.slices.resize(index + 1);
  return index;
}

MachineTimeSlice& StatsCollector::machine_slice_at(double at_ms, model::MachineId machine) {
  const std::size_t i = slice_index(at_ms);
  auto& slices = stats_.machines.at(machine).slices;
  if (i >= slices.size()) slices.resize(i + 1);
  return slices[i];
}

template <typename Update>
void StatsCollector::update_request_stats(const OpenRequest& open, Update update) {
  update(slice_at(open.drawn_at_ms).request_stats);
  update(stats_.classes.at(open.class_index).request_stats);
  update(stats_.tenants.at(open.tenant).request_stats);
  update(stats_.zones.at(open.zone).request_stats);
}

void StatsCollector::on(const model::DrawnRequest& drawn) {
  const OpenRequest open{drawn.at, drawn.latency_objective_ms, drawn.cls, drawn.tenant, drawn.zone, 0, false};
  open_requests_[drawn.request] = open;
  update_request_stats(open, [&](RequestStats& request_stats) {
    ++request_stats.drawn;
    request_stats.drawn_weight += drawn.priority_weight;
  });
}

void StatsCollector::on(const model::TrySent& sent) {
  const auto found = open_requests_.find(sent.request);
  if (found == open_requests_.end()) return;
  found->second.router = sent.router;
  found->second.tried = true;
  update_request_stats(found->second, [](RequestStats& request_stats) { ++request_stats.tries; });
  if (sent.router < stats_.routers.size()) ++stats_.routers[sent.router].request_stats.tries;
}

// The statistics of a router count client tries, because a request may go to several routers.
void StatsCollector::on(const model::TryEnded& ended) {
  if (ended.surplus || ended.router >= stats_.routers.size()) return;
  RequestStats& router_stats = stats_.routers[ended.router].request_stats;
  ++router_stats.drawn;
  ++router_stats.outcome_counts[static_cast<std::size_t>(ended.outcome)];
}

void StatsCollector::on(const model::RequestEnded& ended) {
  const auto found = open_requests_.find(ended.request);
  if (found == open_requests_.end()) return;
  const OpenRequest open = found->second;
  open_requests_.erase(found);
  update_request_stats(open, [&](RequestStats& request_stats) {
    ++request_stats.outcome_counts[static_cast<std::size_t>(ended.outcome)];
    request_stats.served_weight += ended.earned_weight;
    if (ended.outcome != model::TryOutcome::Served) return;
    request_stats.latency_histogram.add(ended.latency_ms);
    if (ended.latency_ms <= open.objective_ms) ++request_stats.within_objective;
  });
}

void StatsCollector::on(const model::AttemptArrived& arrival) {
  TimeSlice& slice = slice_at(arrival.at);
  ++slice.attempts;
  if (arrival.machine == stats_.origin_index) ++(arrival.write ? slice.origin_writes : slice.origin_reads);
  ++machine_slice_at(arrival.at, arrival.machine).attempts;
}

void StatsCollector::on(const model::AttemptEnded& ended) {
  TimeSlice& slice = slice_at(ended.at);
  switch (ended.outcome) {
    case model::ServerOutcome::Hit: ++slice.hits; break;
    case model::ServerOutcome::Miss:
    case model::ServerOutcome::Pending: ++slice.misses; break;
    case model::ServerOutcome::Full:
    case model::ServerOutcome::Draining:
    case model::ServerOutcome::Expired: ++slice.rejected; break;
    case model::ServerOutcome::Error: ++slice.errors; break;
    default: break;
  }
}

void StatsCollector::on(const model::LoadSample& sample) {
  // A sample covers the time before it, so it counts in the slice 1 ms earlier. The sample at the start of the
  // run covers no time.
  const double sampled_until_ms = sample.at - 1;
  slice_at(sampled_until_ms).handshakes += sample.new_connections;
  if (sampled_until_ms < 0) return;
  MachineTimeSlice& slice = machine_slice_at(sampled_until_ms, sample.machine);
  slice.utilization_sum += static_cast<float>(sample.utilization);
  ++slice.sample_count;
}

void StatsCollector::on(const model::EventMark& mark) {
  if (mark.event >= stats_.event_intervals.size()) return;
  (mark.begins ? stats_.event_intervals[mark.event].from_ms : stats_.event_intervals[mark.event].to_ms) =
      mark.at;
}

RunStats StatsCollector::take() {
  // Events that never began are removed. Events without an end last until the end of the run.
  std::erase_if(stats_.event_intervals, [](const EventInterval& interval) { return interval.from_ms < 0; });
  for (EventInterval& interval : stats_.event_intervals) {
    if (interval.to_ms < interval.from_ms) interval.to_ms = stats_.duration_ms;
  }
  for (MachineStats& machine : stats_.machines) machine.slices.resize(stats_.slices.size());
  return std::move(stats_);
}

// ---- files ----

namespace {

using nlohmann::json;

json to_json_value(const RequestStats& stats) {
  return {{"drawn", stats.drawn},
          {"in_aim", stats.within_objective},
          {"tries", stats.tries},
          {"ends", stats.outcome_counts},
          {"asked", stats.drawn_weight},
          {"earned", stats.served_weight},
          {"latency",
           {{"bins", stats.latency_histogram.nonempty_bins()}, {"sum", stats.latency_histogram.sum()}}}};
}

RequestStats request_stats_from_json(const json& input) {
  RequestStats stats;
  input.at("drawn").get_to(stats.drawn);
  input.at("in_aim").get_to(stats.within_objective);
  input.at("tries").get_to(stats.tries);
  input.at("ends").get_to(stats.outcome_counts);
  input.at("asked").get_to(stats.drawn_weight);
  input.at("earned").get_to(stats.served_weight);
  const json& latency = input.at("latency");
  const auto bins = latency.at("bins").get<std::vector<std::pair<int, std::uint64_t>>>();
  if (!stats.latency_histogram.restore(bins, latency.at("sum").get<double>())) {
    throw std::invalid_argument("a latency bin is outside the histogram's range");
  }
  return stats;
}

json to_json_value(const std::vector<NamedRequestStats>& all) {
  json list = json::array();
  for (const NamedRequestStats& n : all)
    list.push_back({{"name", n.name}, {"tally", to_json_value(n.request_stats)}});
  return list;
}

std::vector<NamedRequestStats> named_stats_from_json(const json& input) {
  std::vector<NamedRequestStats> named_stats;
  for (const json& n : input)
    named_stats.push_back({n.at("name").get<std::string>(), request_stats_from_json(n.at("tally"))});
  return named_stats;
}

} // namespace

json to_json(const RunStats& stats) {
  json slices = json::array(), machines = json::array(), events = json::array();
  for (const TimeSlice& s : stats.slices) {
    slices.push_back({{"tally", to_json_value(s.request_stats)},
                      {"attempts", s.attempts},
                      {"fetches", s.origin_reads},
                      {"writes", s.origin_writes},
                      {"hits", s.hits},
                      {"misses", s.misses},
                      {"turned_away", s.rejected},
                      {"errors", s.errors},
                      {"handshakes", s.handshakes}});
  }
  for (const MachineStats& m : stats.machines) {
    json used = json::array(), samples = json::array(), attempts = json::array();
    for (const MachineTimeSlice& s : m.slices) {
      used.push_back(std::round(s.utilization_sum * 1e4f) / 1e4f);
      samples.push_back(s.sample_count);
      attempts.push_back(s.attempts);
    }
    machines.push_back({{"name", m.name}, {"used", used}, {"samples", samples}, {"attempts", attempts}});
  }
  for (const EventInterval& m : stats.event_intervals) {
    events.push_back({{"from_ms", m.from_ms}, {"to_ms", m.to_ms}, {"label", m.label}});
  }
  return {{"scenario", stats.scenario},
          {"title", stats.title},
          {"duration_ms", stats.duration_ms},
          {"width_ms", stats.slice_width_ms},
          {"runs", stats.runs},
          {"origin", stats.origin_index},
          {"classes", to_json_value(stats.classes)},
          {"tenants", to_json_value(stats.tenants)},
          {"zones", to_json_value(stats.zones)},
          {"routers", to_json_value(stats.routers)},
          {"slices", slices},
          {"machines", machines},
          {"marks", events}};
}

RunStats run_stats_from_json(const json& input) {
  try {
    RunStats stats;
    input.at("scenario").get_to(stats.scenario);
    input.at("title").get_to(stats.title);
    input.at("duration_ms").get_to(stats.duration_ms);
    input.at("width_ms").get_to(stats.slice_width_ms);
    input.at("runs").get_to(stats.runs);
    input.at("origin").get_to(stats.origin_index);
    stats.classes = named_stats_from_json(input.at("classes"));
    stats.tenants = named_stats_from_json(input.at("tenants"));
    stats.zones = named_stats_from_json(input.at("zones"));
    stats.routers = named_stats_from_json(input.at("routers"));
    for (const json& s : input.at("slices")) {
      TimeSlice slice;
      slice.request_stats = request_stats_from_json(s.at("tally"));
      s.at("attempts").get_to(slice.attempts);
      s.at("fetches").get_to(slice.origin_reads);
      s.at("writes").get_to(slice.origin_writes);
      s.at("hits").get_to(slice.hits);
      s.at("misses").get_to(slice.misses);
      s.at("turned_away").get_to(slice.rejected);
      s.at("errors").get_to(slice.errors);
      s.at("handshakes").get_to(slice.handshakes);
      stats.slices.push_back(std::move(slice));
    }
    for (const json& m : input.at("machines")) {
      MachineStats machine{m.at("name").get<std::string>(), {}};
      const json &used = m.at("used"), &samples = m.at("samples"), &attempts = m.at("attempts");
      if (used.size() != stats.slices.size() || samples.size() != used.size() ||
          attempts.size() != used.size()) {
        throw std::invalid_argument("the lengths of a machine's series differ from the number of slices");
      }
      for (std::size_t i = 0; i < used.size(); ++i) {
        machine.slices.push_back(
            {used[i].get<float>(), samples[i].get<std::uint32_t>(), attempts[i].get<std::uint32_t>()});
      }
      stats.machines.push_back(std::move(machine));
    }
    for (const json& m : input.at("marks")) {
      stats.event_intervals.push_back(
          {m.at("from_ms").get<double>(), m.at("to_ms").get<double>(), m.at("label").get<std::string>()});
    }
    return stats;
  } catch (const json::exception& error) {
    throw std::invalid_argument(error.what());
  }
}

} // namespace fernward::lab
