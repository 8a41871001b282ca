#include "lab/stats/figures.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace fernward::lab {
namespace {

constexpr std::size_t kMostSlices = 1024, kFewestSlices = 64;
constexpr std::size_t kMostMachineSlices = std::size_t{1} << 22; // sum over all machines

std::size_t slice_limit(std::size_t machines) {
  return std::clamp(kMostMachineSlices / std::max<std::size_t>(1, machines), kFewestSlices, kMostSlices);
}

void merge(MachineSlice& into, const MachineSlice& from) {
  into.used += from.used;
  into.samples += from.samples;
  into.attempts += from.attempts;
}

template <typename T, typename Merge>
void halve(std::vector<T>& all, Merge add) {
  for (std::size_t i = 0; i < all.size(); ++i) {
    if (i % 2 == 1) {
      add(all[i / 2], all[i]);
    } else if (i > 0) {
      all[i / 2] = std::move(all[i]);
    }
  }
  all.resize((all.size() + 1) / 2);
}

template <typename T, typename Merge>
void add_all(std::vector<T>& into, const std::vector<T>& from, Merge add) {
  if (into.size() < from.size()) into.resize(from.size());
  for (std::size_t i = 0; i < from.size(); ++i) add(into[i], from[i]);
}

void merge_named(std::vector<Named>& into, const std::vector<Named>& from) {
  if (into.size() != from.size()) throw std::invalid_argument("the runs to merge have different scenarios");
  for (std::size_t i = 0; i < into.size(); ++i) {
    if (into[i].name != from[i].name)
      throw std::invalid_argument("the runs to merge have different scenarios");
    into[i].tally.merge(from[i].tally);
  }
}

} // namespace

const std::array<const char*, kHeards> kHeardNames{"served",      "refused", "failed", "broken",
                                                   "unreachable", "silence", "left"};

std::uint64_t Tally::closed() const {
  std::uint64_t all = 0;
  for (const std::uint64_t n : ends) all += n;
  return all;
}

void Tally::merge(const Tally& other) {
  drawn += other.drawn;
  in_aim += other.in_aim;
  tries += other.tries;
  for (std::size_t i = 0; i < kHeards; ++i) ends[i] += other.ends[i];
  asked += other.asked;
  earned += other.earned;
  latency.merge(other.latency);
}

void Slice::merge(const Slice& other) {
  tally.merge(other.tally);
  attempts += other.attempts;
  fetches += other.fetches;
  writes += other.writes;
  hits += other.hits;
  misses += other.misses;
  turned_away += other.turned_away;
  errors += other.errors;
  handshakes += other.handshakes;
}

double hit_ratio(const Slice& s) {
  return s.hits + s.misses > 0 ? static_cast<double>(s.hits) / static_cast<double>(s.hits + s.misses) : 0;
}

Slice Figures::whole() const {
  Slice all;
  for (const Slice& s : slices) all.merge(s);
  return all;
}

void Figures::widen() {
  width_ms *= 2;
  halve(slices, [](Slice& into, const Slice& from) { into.merge(from); });
  for (MachineFigures& m : machines)
    halve(m.slices, static_cast<void (*)(MachineSlice&, const MachineSlice&)>(lab::merge));
}

void Figures::merge(Figures other) {
  while (width_ms < other.width_ms) widen();
  while (other.width_ms < width_ms) other.widen();
  if (width_ms != other.width_ms)
    throw std::invalid_argument("the slice widths of the runs are not multiples by a power of two");
  if (machines.size() != other.machines.size()) {
    throw std::invalid_argument("the runs to merge have different numbers of machines");
  }
  merge_named(classes, other.classes);
  merge_named(tenants, other.tenants);
  merge_named(zones, other.zones);
  merge_named(routers, other.routers);
  add_all(slices, other.slices, [](Slice& into, const Slice& from) { into.merge(from); });
  for (std::size_t i = 0; i < machines.size(); ++i) {
    add_all(machines[i].slices, other.machines[i].slices,
            static_cast<void (*)(MachineSlice&, const MachineSlice&)>(lab::merge));
  }
  duration_ms = std::max(duration_ms, other.duration_ms);
  runs += other.runs;
}

// ---- collecting ----

Collector::Collector(const model::Spec& spec, const model::Plan& plan)
    : most_slices_(slice_limit(plan.machines.size())) {
  figures_.scenario = spec.name;
  figures_.title = spec.title;
  figures_.duration_ms = spec.duration_ms;
  figures_.origin = plan.origin;
  for (const auto& c : spec.classes) figures_.classes.push_back({c.name, {}});
  for (const auto& t : spec.tenants) figures_.tenants.push_back({t.name, {}});
  if (spec.tenants.empty()) figures_.tenants.push_back({"-", {}});
  for (const auto& z : spec.zones) figures_.zones.push_back({z.name, {}});
  for (const auto& r : plan.routers) figures_.routers.push_back({r.name, {}});
  for (const auto& m : plan.machines) figures_.machines.push_back({m.name, {}});
  for (const auto& e : spec.events) figures_.marks.push_back({-1, -1, e.label});
}

std::size_t Collector::index(double at) {
  at = std::max(0.0, at);
  while (at >= figures_.width_ms * static_cast<double>(most_slices_)) figures_.widen();
  const auto index = static_cast<std::size_t>(at / figures_.width_ms);
  if (index >= figures_.slices.size()) figures_.slices.resize(index + 1);
  return index;
}

MachineSlice& Collector::machine_slice(double at, model::MachineId machine) {
  const std::size_t i = index(at);
  auto& slices = figures_.machines.at(machine).slices;
  if (i >= slices.size()) slices.resize(i + 1);
  return slices[i];
}

template <typename Count>
void Collector::each_tally(const Open& open, Count count) {
  count(slice(open.at).tally);
  count(figures_.classes.at(open.cls).tally);
  count(figures_.tenants.at(open.tenant).tally);
  count(figures_.zones.at(open.zone).tally);
}

void Collector::on(const model::Drawn& d) {
  const Open open{d.at, d.aim_ms, d.cls, d.tenant, d.zone, 0, false};
  open_[d.request] = open;
  each_tally(open, [&](Tally& t) {
    ++t.drawn;
    t.asked += d.worth;
  });
}

void Collector::on(const model::Tried& tried) {
  const auto found = open_.find(tried.request);
  if (found == open_.end()) return;
  found->second.router = tried.router;
  found->second.tried = true;
  each_tally(found->second, [](Tally& t) { ++t.tries; });
  if (tried.router < figures_.routers.size()) ++figures_.routers[tried.router].tally.tries;
}

// Router statistics count client tries, because a request may go to several routers.
void Collector::on(const model::Answered& a) {
  if (a.surplus || a.router >= figures_.routers.size()) return;
  Tally& t = figures_.routers[a.router].tally;
  ++t.drawn;
  ++t.ends[static_cast<std::size_t>(a.heard)];
}

void Collector::on(const model::Closed& c) {
  const auto found = open_.find(c.request);
  if (found == open_.end()) return;
  const Open open = found->second;
  open_.erase(found);
  each_tally(open, [&](Tally& t) {
    ++t.ends[static_cast<std::size_t>(c.end)];
    t.earned += c.earned;
    if (c.end != model::Heard::Served) return;
    t.latency.add(c.latency_ms);
    if (c.latency_ms <= open.aim_ms) ++t.in_aim;
  });
}

void Collector::on(const model::Arrived& a) {
  Slice& s = slice(a.at);
  ++s.attempts;
  if (a.machine == figures_.origin) ++(a.write ? s.writes : s.fetches);
  ++machine_slice(a.at, a.machine).attempts;
}

void Collector::on(const model::AttemptEnded& e) {
  Slice& s = slice(e.at);
  switch (e.ending) {
    case model::Ending::Hit: ++s.hits; break;
    case model::Ending::Miss:
    case model::Ending::Pending: ++s.misses; break;
    case model::Ending::Full:
    case model::Ending::Draining:
    case model::Ending::Overdue: ++s.turned_away; break;
    case model::Ending::Error: ++s.errors; break;
    default: break;
  }
}

void Collector::on(const model::LoadSample& sample) {
  // A sample covers the time before it. The sample at the start of the run covers none.
  const double before = sample.at - 1;
  slice(before).handshakes += sample.new_connections;
  if (before < 0) return;
  MachineSlice& s = machine_slice(before, sample.machine);
  s.used += static_cast<float>(sample.used);
  ++s.samples;
}

void Collector::on(const model::Mark& mark) {
  if (mark.event >= figures_.marks.size()) return;
  (mark.begins ? figures_.marks[mark.event].from_ms : figures_.marks[mark.event].to_ms) = mark.at;
}

Figures Collector::take() {
  // Events that never began are removed. Events without an end last until the end of the run.
  std::erase_if(figures_.marks, [](const MarkFigure& m) { return m.from_ms < 0; });
  for (MarkFigure& m : figures_.marks) {
    if (m.to_ms < m.from_ms) m.to_ms = figures_.duration_ms;
  }
  for (MachineFigures& m : figures_.machines) m.slices.resize(figures_.slices.size());
  return std::move(figures_);
}

// ---- files ----

namespace {

using nlohmann::json;

json json_of(const Tally& t) {
  return {{"drawn", t.drawn},
          {"in_aim", t.in_aim},
          {"tries", t.tries},
          {"ends", t.ends},
          {"asked", t.asked},
          {"earned", t.earned},
          {"latency", {{"bins", t.latency.bins()}, {"sum", t.latency.sum()}}}};
}

Tally tally_from(const json& j) {
  Tally t;
  j.at("drawn").get_to(t.drawn);
  j.at("in_aim").get_to(t.in_aim);
  j.at("tries").get_to(t.tries);
  j.at("ends").get_to(t.ends);
  j.at("asked").get_to(t.asked);
  j.at("earned").get_to(t.earned);
  const json& latency = j.at("latency");
  const auto bins = latency.at("bins").get<std::vector<std::pair<int, std::uint64_t>>>();
  if (!t.latency.restore(bins, latency.at("sum").get<double>())) {
    throw std::invalid_argument("a latency bin is outside the histogram's range");
  }
  return t;
}

json json_of(const std::vector<Named>& all) {
  json list = json::array();
  for (const Named& n : all) list.push_back({{"name", n.name}, {"tally", json_of(n.tally)}});
  return list;
}

std::vector<Named> named_from(const json& j) {
  std::vector<Named> all;
  for (const json& n : j) all.push_back({n.at("name").get<std::string>(), tally_from(n.at("tally"))});
  return all;
}

} // namespace

json to_json(const Figures& f) {
  json slices = json::array(), machines = json::array(), marks = json::array();
  for (const Slice& s : f.slices) {
    slices.push_back({{"tally", json_of(s.tally)},
                      {"attempts", s.attempts},
                      {"fetches", s.fetches},
                      {"writes", s.writes},
                      {"hits", s.hits},
                      {"misses", s.misses},
                      {"turned_away", s.turned_away},
                      {"errors", s.errors},
                      {"handshakes", s.handshakes}});
  }
  for (const MachineFigures& m : f.machines) {
    json used = json::array(), samples = json::array(), attempts = json::array();
    for (const MachineSlice& s : m.slices) {
      used.push_back(std::round(s.used * 1e4f) / 1e4f);
      samples.push_back(s.samples);
      attempts.push_back(s.attempts);
    }
    machines.push_back({{"name", m.name}, {"used", used}, {"samples", samples}, {"attempts", attempts}});
  }
  for (const MarkFigure& m : f.marks) {
    marks.push_back({{"from_ms", m.from_ms}, {"to_ms", m.to_ms}, {"label", m.label}});
  }
  return {{"scenario", f.scenario},
          {"title", f.title},
          {"duration_ms", f.duration_ms},
          {"width_ms", f.width_ms},
          {"runs", f.runs},
          {"origin", f.origin},
          {"classes", json_of(f.classes)},
          {"tenants", json_of(f.tenants)},
          {"zones", json_of(f.zones)},
          {"routers", json_of(f.routers)},
          {"slices", slices},
          {"machines", machines},
          {"marks", marks}};
}

Figures figures_from(const json& j) {
  try {
    Figures f;
    j.at("scenario").get_to(f.scenario);
    j.at("title").get_to(f.title);
    j.at("duration_ms").get_to(f.duration_ms);
    j.at("width_ms").get_to(f.width_ms);
    j.at("runs").get_to(f.runs);
    j.at("origin").get_to(f.origin);
    f.classes = named_from(j.at("classes"));
    f.tenants = named_from(j.at("tenants"));
    f.zones = named_from(j.at("zones"));
    f.routers = named_from(j.at("routers"));
    for (const json& s : j.at("slices")) {
      Slice slice;
      slice.tally = tally_from(s.at("tally"));
      s.at("attempts").get_to(slice.attempts);
      s.at("fetches").get_to(slice.fetches);
      s.at("writes").get_to(slice.writes);
      s.at("hits").get_to(slice.hits);
      s.at("misses").get_to(slice.misses);
      s.at("turned_away").get_to(slice.turned_away);
      s.at("errors").get_to(slice.errors);
      s.at("handshakes").get_to(slice.handshakes);
      f.slices.push_back(std::move(slice));
    }
    for (const json& m : j.at("machines")) {
      MachineFigures machine{m.at("name").get<std::string>(), {}};
      const json &used = m.at("used"), &samples = m.at("samples"), &attempts = m.at("attempts");
      if (used.size() != f.slices.size() || samples.size() != used.size() || attempts.size() != used.size()) {
        throw std::invalid_argument("the lengths of a machine's series differ from the number of slices");
      }
      for (std::size_t i = 0; i < used.size(); ++i) {
        machine.slices.push_back(
            {used[i].get<float>(), samples[i].get<std::uint32_t>(), attempts[i].get<std::uint32_t>()});
      }
      f.machines.push_back(std::move(machine));
    }
    for (const json& m : j.at("marks")) {
      f.marks.push_back(
          {m.at("from_ms").get<double>(), m.at("to_ms").get<double>(), m.at("label").get<std::string>()});
    }
    return f;
  } catch (const json::exception& error) {
    throw std::invalid_argument(error.what());
  }
}

} // namespace fernward::lab
