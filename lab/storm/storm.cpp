#include "lab/storm/storm.h"

#include <algorithm>
#include <chrono>
#include <mutex>

#include "lab/check/checker.h"
#include "lab/experiment/many.h"
#include "lab/experiment/play.h"

namespace fernward::lab::storm {

using namespace fernward::model;

namespace {

constexpr std::uint64_t kBatch = 64;
constexpr std::uint64_t kLook = 4096;   // events between two calls of RunControl::progress in virtual time
constexpr double kBeyondEndMs = 120000; // no run has work left this long after its last request
constexpr double kNewsMs = 2000; // allowed beyond discovery's own delays for an update to reach a router
constexpr std::uint32_t kManyRouters = 6; // from this number on also run with four routers

// Ten times what storms need: events for each request and try, and periodic work of each router and machine.
std::uint64_t most_events(const Spec& spec, const Plan& plan) {
  double factor = 1;
  for (const RateChange& r : plan.rates) factor *= std::max(1.0, r.factor);
  const double requests = spec.load.rate_per_s * spec.duration_ms / 1000 * factor;
  const double each = 400 * (2 + spec.clients.retries);
  const double idle = 400.0 * static_cast<double>(plan.routers.size() + plan.machines.size()) *
                      (spec.duration_ms / 1000 + 60);
  const double links =
      200.0 * static_cast<double>(plan.routers.size()) * static_cast<double>(plan.machines.size());
  return static_cast<std::uint64_t>(requests * each + idle + links) + 1000000;
}

struct Run {
  Findings findings;
  Seen seen;
  RunInfo info;
};

// `stages` and `record_sink` may be nullptr.
Run run(const Rig& rig, const Spec& spec, const Plan& plan, StageWatch* stages, Sink* hears,
        std::stop_token stop) {
  Checker checker(spec, plan, rig.exact ? virtual_slack(spec) : kSocketsSlackMs);
  Watch watch(spec, plan, 2 * (spec.discovery.period_ms + spec.discovery.spread_ms) + kNewsMs);
  std::vector<Sink*> sinks = {&checker, &watch};
  if (stages != nullptr) sinks.push_back(stages);
  if (hears != nullptr) sinks.push_back(hears);
  Tee tee(sinks);
  std::stop_source own;
  const std::stop_callback asked(stop, [&] { own.request_stop(); });
  const std::uint64_t most = most_events(spec, plan);
  std::uint64_t looks = 0;
  double endless_at = -1;
  RunControl control;
  control.stop = own.get_token();
  control.progress = [&](double now) {
    const bool beyond = rig.exact && looks++ * kLook > most;
    if (endless_at >= 0 || (!beyond && now < spec.duration_ms + kBeyondEndMs)) return;
    endless_at = now;
    own.request_stop();
  };
  Run r;
  r.info = rig.driver()->run(spec, tee, control);
  r.findings = checker.finish(!r.info.stopped);
  r.seen = watch.take();
  r.seen.endless = endless_at >= 0;
  r.seen.endless_at = endless_at;
  return r;
}

} // namespace

std::uint32_t routers_of(const Spec& spec) {
  std::uint32_t count = 0;
  for (const RouterGroup& g : spec.routers.groups) count += g.count;
  return count;
}

std::uint32_t nodes_of(const Spec& spec) {
  std::uint32_t count = 0;
  for (const NodeGroup& g : spec.nodes) count += g.count;
  return count;
}

Spec with_four(const Spec& spec) {
  Spec four = spec;
  auto& groups = four.routers.groups;
  const std::uint32_t all = routers_of(spec);
  std::uint32_t dealt = 0;
  for (std::size_t g = 0; g < groups.size(); ++g) {
    groups[g].count = std::min(groups[g].count, std::uint32_t{1});
    dealt += groups[g].count;
  }
  for (std::size_t g = 0; dealt < std::min(4u, all); g = (g + 1) % groups.size()) {
    if (groups[g].count >= spec.routers.groups[g].count) continue;
    ++groups[g].count;
    ++dealt;
  }
  // A rolling reload takes as long as before.
  for (TimedEvent& e : four.events) {
    if (auto* move = std::get_if<DiscoveryMove>(&e.what))
      move->reload_after_ms *= all / static_cast<double>(dealt);
    if (auto* restart = std::get_if<RestartRouters>(&e.what)) restart->batch = std::min(restart->batch, 1u);
  }
  return four;
}

bool Outcome::broken(const Oracle& oracle) const {
  return verdicts[static_cast<std::size_t>(&oracle - oracles().data())].broken();
}

const Oracle* Outcome::broken() const {
  const Oracle* furthest = nullptr;
  double distance = 0;
  for (std::size_t i = 0; i < verdicts.size(); ++i) {
    if (!verdicts[i].broken()) continue;
    const Oracle& o = oracles()[i];
    const bool surer = furthest != nullptr && o.sure < furthest->sure;
    if (furthest != nullptr && !surer && (o.sure > furthest->sure || verdicts[i].distance <= distance))
      continue;
    furthest = &o;
    distance = verdicts[i].distance;
  }
  return furthest;
}

Outcome play(const Rig& rig, const Spec& spec, std::stop_token stop) {
  const auto begin = std::chrono::steady_clock::now();
  const Plan plan = make_plan(spec);
  Outcome out{{}, StageWatch(spec, plan.origin), {}, {}, 0, {}, 0, 0, 0, 0, false, {}};
  Run own = run(rig, spec, plan, &out.stages, rig.hears, stop);
  Evidence e{spec, plan, std::move(own.findings), std::move(own.seen), {}, {}};
  out.events = own.info.events;
  out.played_ms = own.info.played_ms;
  out.late_p99_ms = own.info.lateness_ms.p99;
  out.is_void = own.info.is_void || (own.info.stopped && !e.seen.endless);
  if (own.info.is_void) out.why_void = own.info.why_void.empty() ? "void" : own.info.why_void.front();
  out.whole = over(e.seen.whole, 0, spec.duration_ms);
  if (!out.is_void && !e.seen.endless) {
    const Rig with = rig.calm ? Rig{rig.calm, true, {}, nullptr} : rig;
    Spec calm = spec;
    calm.events.clear();
    Run beside = run(with, calm, make_plan(calm), nullptr, nullptr, stop);
    out.events += beside.info.events;
    out.calm = over(beside.seen.whole, 0, spec.duration_ms);
    if (!beside.info.stopped && !beside.info.is_void) e.calm = std::move(beside.seen);
    if (routers_of(spec) >= kManyRouters && with.exact) {
      const Spec four = with_four(spec);
      beside = run(with, four, make_plan(four), nullptr, nullptr, stop);
      out.events += beside.info.events;
      if (!beside.info.stopped) e.four = std::move(beside.seen);
    }
  }
  out.verdicts = judge(e);
  out.seen = std::move(e.seen);
  out.wall_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
  return out;
}

bool Sum::broken(Sure sure) const {
  for (std::size_t i = 0; i < oracles.size(); ++i) {
    if (storm::oracles()[i].sure == sure && oracles[i].broken > 0) return true;
  }
  return false;
}

namespace {

void keep(Sum& sum, std::size_t most, std::uint64_t seed, const Spec& spec, const Outcome& out) {
  ++sum.storms;
  sum.requests += out.whole.drawn;
  sum.events += out.events;
  sum.played_s += out.played_ms / 1000;
  if (out.wall_s > sum.slowest_s) {
    sum.slowest_s = out.wall_s;
    sum.slowest_seed = seed;
  }
  sum.coverage.add(out.stages);
  if (out.is_void) {
    if (sum.voids.size() < most) sum.voids.push_back(std::to_string(seed) + ": " + out.why_void);
    return;
  }
  for (std::size_t i = 0; i < out.verdicts.size(); ++i) {
    const Verdict& v = out.verdicts[i];
    Sum::Count& count = sum.oracles[i];
    count.judged += v.judged;
    count.furthest = std::max(count.furthest, v.distance);
    if (!v.broken()) continue;
    if (count.broken++ == 0) count.first_seed = seed;
    sum.worst.push_back({seed, i, v, spec});
  }
  // Certain oracles are listed before statistical ones.
  const auto before = [](const Told& a, const Told& b) {
    const Sure x = storm::oracles()[a.oracle].sure, y = storm::oracles()[b.oracle].sure;
    if (x != y) return x < y;
    if (a.verdict.distance != b.verdict.distance) return a.verdict.distance > b.verdict.distance;
    return a.seed < b.seed;
  };
  std::sort(sum.worst.begin(), sum.worst.end(), before);
  // Limited for each oracle, as otherwise an often broken oracle would displace the others' storms.
  std::vector<std::size_t> kept(storm::oracles().size());
  std::erase_if(sum.worst, [&](const Told& t) { return ++kept[t.oracle] > most; });
}

} // namespace

Sum play(const Rig& rig, const Season& season, std::stop_token stop) {
  Sum sum;
  sum.oracles.resize(oracles().size());
  for (std::uint64_t done = 0; done < season.storms && !stop.stop_requested();) {
    const std::uint64_t count = std::min(kBatch, season.storms - done);
    std::vector<Spec> specs(count);
    std::vector<std::optional<Outcome>> outcomes(count);
    for (std::uint64_t i = 0; i < count; ++i) {
      specs[i] = draw(season.first_seed + done + i, sum.coverage, season.size);
    }
    many(
        count, season.jobs, stop, [&](std::size_t i) { outcomes[i] = play(rig, specs[i], stop); },
        [](std::size_t) {});
    for (std::uint64_t i = 0; i < count; ++i) {
      if (outcomes[i]) keep(sum, season.worst, season.first_seed + done + i, specs[i], *outcomes[i]);
    }
    done += count;
    if (season.progress) season.progress(sum);
    if (season.enough && season.enough(sum)) break;
  }
  return sum;
}

} // namespace fernward::lab::storm
