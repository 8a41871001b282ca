#include "lab/storm/oracles.h"

#include <algorithm>
#include <cmath>
#include <cstdarg>
#include <cstdio>
#include <limits>
#include <set>

#include "lab/stats/format.h"
#include "lab/storm/draw.h"

namespace fernward::lab::storm {

using namespace fernward::model;

namespace {

// The bounds of all oracles.
constexpr double kBackTo = 0.98;        // metastable: share of the fault-free service
constexpr double kCalmFrom = 0.95;      // a fleet that serves less without faults is too small to judge
constexpr double kWindowMs = 6000;      // each such window must have recovered
constexpr double kNodesFullFrom = 0.7;  // of the nodes' capacity: beyond it some loss is expected
constexpr double kOriginFullFrom = 0.7; // the same for the origin
constexpr double kNoise = 4;            // standard deviations allowed for chance
constexpr double kPaceOf = 0.8;         // share of origin_load_multiple that routers use
constexpr double kAddsUp = 0.03;        // by which many routers may serve less than four
// Window without service for a group while the others get at least half of theirs.
constexpr double kStarvedMs = 4000;
constexpr std::uint32_t kStarvedLeast = 40; // requests in the window, for a judgement
constexpr double kShortFrom = 0.75;         // service of the others: below this, capacity is short for all
constexpr double kPartsBeside =
    1.5; // sum of shared parts over sum of limits: routers act on updates of different age
constexpr double kLivingBeside = 0.1;  // error allowed in a count: this share of the routers, at least one
constexpr double kFactsGoneMs = 12000; // after this a fact has expired
constexpr double kAttemptsATry = 2.2;  // at caches, on average: retries and hedged requests are a minority
constexpr double kConnectionsARequest = 2.5;

Verdict unjudged(std::string why) { return {false, 0, std::move(why)}; }

// One breach violates the bound; the distance grows with the logarithm of their number.
template <Rule rule>
Verdict of_rule(const Evidence& e) {
  const RuleFinding& f = e.findings.rules[static_cast<std::size_t>(rule)];
  if (!f.judged) return unjudged("disabled in the scenario");
  if (f.breaches == 0) return {};
  return {true, 1 + std::log2(static_cast<double>(f.breaches)),
          format("%llu breaches; first at %.0f ms: ", static_cast<unsigned long long>(f.breaches),
                 f.first.front().at_ms) +
              f.first.front().what};
}

Verdict ends(const Evidence& e) {
  if (!e.seen.endless) return {};
  return {true, 2,
          format("ended at %.0f ms: more events or time than the run can require", e.seen.endless_at)};
}

// Allowance for chance in the service of a window, from the binomial distribution of served requests.
double chance(const Cell& cell, double service) {
  if (cell.drawn == 0) return 1;
  const double p = std::clamp(service, 0.02, 0.98);
  // Losses come in bursts, and classes have different priority weights. Both raise the variance, so only a
  // quarter of the requests count.
  return kNoise * std::sqrt(p * (1 - p) / (0.25 * cell.drawn));
}

double steady_at_origin(const Evidence& e) {
  const Work& w = e.calm->work;
  const double extra = static_cast<double>(w.writes) * (e.spec.origin.write_multiple - 1);
  return (static_cast<double>(w.at_origin) + std::max(0.0, extra)) * 1000 / e.spec.duration_ms;
}

Verdict metastable(const Evidence& e) {
  if (!e.calm) return unjudged("no fault-free reference run");
  if (e.seen.endless) return unjudged("the run was ended");
  const double ended = last_end(e.spec);
  const double calm = over(e.calm->whole, ended, e.spec.duration_ms).service();
  if (calm < kCalmFrom) return unjudged(format("only %.1f%% service without faults", 100 * calm));
  const double used = used_after(e.spec, e.plan);
  if (used > kNodesFullFrom)
    return unjudged(format("offered work is %.0f%% of the nodes' capacity", 100 * used));
  const double refill = refill_ms(e.spec, lost_contents(e.plan), steady_at_origin(e));
  const double from = ended + settle_ms(e.spec) + refill;
  if (!(from + kWindowMs <= e.spec.duration_ms))
    return unjudged("caches can't be refilled before the run ends");
  Verdict worst;
  for (double at = std::ceil(from / kStepMs) * kStepMs; at + kWindowMs <= e.spec.duration_ms; at += kStepMs) {
    const Cell now = over(e.seen.whole, at, at + kWindowMs);
    const double least = kBackTo * calm - chance(now, calm);
    const double distance = (calm - now.service()) / std::max(1e-9, calm - least);
    if (now.drawn == 0 || distance <= worst.distance) continue;
    worst = {
        true, distance,
        format("%.1f%% from %.0f ms on, %.0f ms after the last fault; without faults %.1f%%, bound %.1f%%",
               100 * now.service(), at, at - ended, 100 * calm, 100 * least)};
  }
  return worst;
}

Verdict adds_up(const Evidence& e) {
  if (!e.four) return unjudged("too few routers to compare with four");
  if (e.seen.endless || e.four->endless) return unjudged("the run was ended");
  const Cell many = over(e.seen.whole, 0, e.spec.duration_ms),
             four = over(e.four->whole, 0, e.spec.duration_ms);
  const double bound = kAddsUp + 2 * chance(many, four.service());
  const double behind = four.service() - many.service();
  return {true, std::max(0.0, behind / bound),
          format("%.1f%%, with four routers %.1f%%", 100 * many.service(), 100 * four.service())};
}

// Whether a fault reduces the zone's service regardless of what routers do.
bool zone_struck(const Evidence& e, std::uint32_t zone, double from, double to) {
  for (const TimedEvent& event : e.spec.events) {
    const bool met = std::visit(
        [&](const auto& what) {
          using T = std::decay_t<decltype(what)>;
          const auto within = [&](double until) {
            return event.at_ms < to && (until > 0 ? until : e.spec.duration_ms) + kStarvedMs > from;
          };
          if constexpr (std::is_same_v<T, LostZone>) return what.zone == zone && within(what.until_ms);
          if constexpr (std::is_same_v<T, CutZones>) {
            const auto in = [&](const auto& all) {
              return std::find(all.begin(), all.end(), zone) != all.end();
            };
            return (in(what.a) || in(what.b)) && within(what.until_ms);
          }
          if constexpr (std::is_same_v<T, CutNodes>) return within(what.until_ms);
          if constexpr (std::is_same_v<T, RestartRouters>) {
            return within(event.at_ms + what.over_ms + std::max(1000.0, what.down_ms) +
                          e.spec.front.notice_ms);
          }
          return false;
        },
        event.what);
    if (met) return true;
  }
  return false;
}

std::string name_of(const Spec& spec, const Group& g) {
  if (g.by == Group::By::Zone) return "zone " + spec.zones[g.number].name;
  if (g.by == Group::By::Class) return "class " + spec.classes[g.number].name;
  return "tenant " + spec.tenants[g.number].name;
}

// Writes and misses need the origin, so a class of writes fails with it.
bool origin_struck(const Evidence& e, double from, double to) {
  return std::any_of(e.spec.events.begin(), e.spec.events.end(), [&](const TimedEvent& event) {
    const bool origin =
        std::holds_alternative<OriginStall>(event.what) || std::holds_alternative<OriginSlow>(event.what) ||
        std::holds_alternative<OriginFall>(event.what) || std::holds_alternative<CutZones>(event.what) ||
        std::holds_alternative<LostZone>(event.what);
    if (!origin) return false;
    const double until = std::visit(
        [&](const auto& what) {
          if constexpr (requires { what.until_ms; })
            return what.until_ms > 0 ? what.until_ms : e.spec.duration_ms;
          return event.at_ms + e.spec.origin.down_ms + 10000;
        },
        event.what);
    return event.at_ms < to && until + settle_ms(e.spec) > from;
  });
}

// Whether the class has the lowest priority weight. Its requests are rejected first when capacity is short.
bool worth_least(const Spec& spec, std::uint32_t cls) {
  return spec.classes.size() > 1 && std::all_of(spec.classes.begin(), spec.classes.end(), [&](const auto& c) {
           return &c == &spec.classes[cls] || c.worth > spec.classes[cls].worth;
         });
}

Verdict starves(const Evidence& e) {
  Verdict worst;
  const auto steps = static_cast<std::size_t>(kStarvedMs / kStepMs);
  for (const Group& g : e.seen.groups) {
    Cell own, all;
    for (std::size_t i = 0; i < g.series.size(); ++i) {
      own.add(g.series[i]);
      all.add(e.seen.whole[i]);
      if (i >= steps) {
        own = over(g.series, static_cast<double>(i + 1 - steps) * kStepMs,
                   static_cast<double>(i + 1) * kStepMs);
        all = over(e.seen.whole, static_cast<double>(i + 1 - steps) * kStepMs,
                   static_cast<double>(i + 1) * kStepMs);
      }
      const double to = static_cast<double>(i + 1) * kStepMs, from = to - kStarvedMs;
      if (own.drawn < kStarvedLeast || own.drawn == all.drawn) continue;
      const double others =
          (static_cast<double>(all.served) - own.served) / (static_cast<double>(all.drawn) - own.drawn);
      const double served = static_cast<double>(own.served) / own.drawn;
      if (others < 0.5) continue;
      // Broken if the group's service is below a twentieth of the others'.
      const double distance = 0.05 * others / std::max(served, 0.005);
      if (distance <= worst.distance) continue;
      if (g.by == Group::By::Zone && zone_struck(e, g.number, from, to)) continue;
      if (g.by == Group::By::Class && origin_struck(e, from, to)) continue;
      if (g.by == Group::By::Class && others < kShortFrom && worth_least(e.spec, g.number)) continue;
      worst = {true, distance,
               name_of(e.spec, g) + format(" was served %.1f%% from %.0f to %.0f ms, the others %.1f%%",
                                           100 * served, from, to, 100 * others)};
    }
  }
  return worst;
}

Verdict alone(const Evidence& e) {
  if (e.seen.alone == 0) return {};
  return {
      true, 1 + std::log2(static_cast<double>(e.seen.alone)),
      format("%llu attempts; ", static_cast<unsigned long long>(e.seen.alone)) + e.seen.alone_what +
          format(" at %.0f ms, %.0f ms after all others had withdrawn it", e.seen.alone_at, e.seen.alone_ms)};
}

// Whether a router sends false facts, or false facts may not have expired yet.
bool lied_to(const Evidence& e, double at) {
  return std::any_of(e.spec.events.begin(), e.spec.events.end(), [&](const TimedEvent& event) {
    const auto* liar = std::get_if<LyingRouter>(&event.what);
    return liar != nullptr && at >= event.at_ms &&
           (liar->until_ms <= 0 || at <= liar->until_ms + kFactsGoneMs);
  });
}

Verdict parts_add_up(const Evidence& e) {
  if (!e.spec.routers.sharing.on) return unjudged("routers share nothing");
  Verdict worst;
  for (std::size_t i = 0; i < e.seen.held.size(); ++i) {
    const Held& h = e.seen.held[i];
    if (!h.all_parts || h.limits <= 0 || h.routers < 2 || lied_to(e, h.at)) continue;
    // A limit that was just reduced is used by others until the fact expires, so the highest recent sum is
    // the reference.
    double most = h.limits;
    for (std::size_t j = i; j-- > 0 && e.seen.held[j].at >= h.at - kFactsGoneMs;) {
      most = std::max(most, e.seen.held[j].limits);
    }
    const double distance = h.parts / most / kPartsBeside;
    if (distance <= worst.distance) continue;
    worst = {true, distance,
             format("at %.0f ms the shared parts of %u routers sum to %.1f, their limits to %.1f within a "
                    "fact's lifetime",
                    h.at, h.routers, h.parts, most)};
  }
  return worst;
}

Verdict counts_living(const Evidence& e) {
  if (!e.spec.routers.sharing.on) return unjudged("routers share nothing");
  const double from = std::max(last_end(e.spec) + settle_ms(e.spec), 2 * kFactsGoneMs);
  Verdict worst;
  for (const Held& h : e.seen.held) {
    if (h.at < from || h.at > e.spec.duration_ms || h.routers != h.up || lied_to(e, h.at)) continue;
    const double off = std::max(h.most_living - h.up, h.up - h.least_living);
    const double distance = off / (1 + std::max(1.0, kLivingBeside * h.up));
    if (distance <= worst.distance) continue;
    worst = {true, distance,
             format("at %.0f ms %u routers run, but are counted as %.0f to %.0f", h.at, h.up, h.least_living,
                    h.most_living)};
  }
  return worst;
}

Verdict bounded_attempts(const Evidence& e) {
  const Work& w = e.seen.work;
  if (w.tries < 200) return unjudged("too few tries");
  const double each = static_cast<double>(w.at_caches) / static_cast<double>(w.tries);
  return {true, each / kAttemptsATry, format("%.2f attempts at caches per try", each)};
}

Verdict bounded_connections(const Evidence& e) {
  const Work& w = e.seen.work;
  if (w.tries < 200) return unjudged("too few tries");
  // Each router needs one to each node and a few to the origin, whatever the load.
  const double base =
      4.0 * static_cast<double>(e.plan.routers.size()) * static_cast<double>(e.plan.machines.size());
  const double bound = base + kConnectionsARequest * 0.4 * static_cast<double>(w.tries);
  return {true, w.connections / bound,
          format("%.0f connections for %llu tries", w.connections, static_cast<unsigned long long>(w.tries))};
}

} // namespace

// ---- bounds computed from the model ----

double lost_contents(const Plan& plan) {
  std::set<MachineId> lost;
  std::size_t nodes = 0;
  for (const Machine& m : plan.machines) nodes += m.at_start && m.id != plan.origin ? 1 : 0;
  for (const Step& s : plan.steps) {
    const auto* node = std::get_if<NodeStep>(&s.what);
    if (node != nullptr && node->what == NodeStep::What::End) lost.insert(node->machine);
  }
  return nodes > 0 ? std::min(1.0, static_cast<double>(lost.size()) / static_cast<double>(nodes)) : 0;
}

double refill_ms(const Spec& spec, double lost_share, double steady_per_s) {
  if (!spec.origin.on || lost_share <= 0) return 0;
  double spare = kOriginFullFrom * spec.origin.capacity_per_s - steady_per_s;
  // If settings limit fetches to a multiple of the steady rate, the rest of the origin's capacity is
  // unavailable.
  const ResizeSettings& resize = spec.routers.resize;
  if (resize.transition_ms > 0 && resize.origin_load_multiple > 0) {
    spare = std::min(spare, (kPaceOf * resize.origin_load_multiple - 1) * steady_per_s);
  }
  if (spare <= 0) return std::numeric_limits<double>::infinity();
  // Groups key ranks into bands of similar popularity: the number of keys and the relative rate of each.
  double sum = 0;
  std::vector<std::pair<double, double>> bands;
  for (std::uint32_t rank = 1; rank <= spec.keys.count;) {
    const std::uint32_t many = std::min(std::max(1u, rank / 8), spec.keys.count - rank + 1);
    const double p = std::pow(rank + many / 2.0 + spec.keys.offset, -spec.keys.zipf);
    bands.emplace_back(many, p);
    sum += many * p;
    rank += many;
  }
  // `effective_s`: the time for which keys have been requested if each miss is fetched at once. It advances
  // more slowly while the origin can't fetch as fast as keys are missed.
  constexpr double kDt = 0.1;
  double seen = 0;
  for (double t = 0; t < 120; t += kDt) {
    double missed = 0; // per second
    for (const auto& [many, p] : bands) {
      const double rate = spec.load.rate_per_s * p / sum;
      missed += lost_share * many * rate * std::exp(-rate * seen);
    }
    if (missed <= spare) return t * 1000;
    seen += kDt * std::min(1.0, spare / missed);
  }
  return std::numeric_limits<double>::infinity();
}

double used_after(const Spec& spec, const Plan& plan) {
  std::vector<char> in_service(plan.machines.size());
  for (const Machine& m : plan.machines) in_service[m.id] = m.at_start ? 1 : 0;
  for (const Step& s : plan.steps) {
    const auto* node = std::get_if<NodeStep>(&s.what);
    if (node == nullptr) continue;
    using What = NodeStep::What;
    if (node->what == What::End || node->what == What::Silence) in_service[node->machine] = 0;
    if (node->what == What::Start || node->what == What::Return) in_service[node->machine] = 1;
  }
  double power = 0, asked = 0, shares = 0;
  for (const Machine& m : plan.machines) {
    if (m.id == plan.origin || m.kind >= spec.kinds.size() || !in_service[m.id]) continue;
    power += spec.kinds[m.kind].cores * m.speed * 1000;
  }
  for (const ClassSpec& c : spec.classes) {
    asked += c.share * c.work.mean;
    shares += c.share;
  }
  return power > 0 ? spec.load.rate_per_s * asked / shares / power : std::numeric_limits<double>::infinity();
}

// ---- the table ----

const std::vector<Oracle>& oracles() {
  static const std::vector<Oracle> all = {
      {"one-answer", "exactly one final answer for each request that a router took", Sure::Always,
       "counted by request on both sides", &of_rule<Rule::OneAnswer>},
      {"no-lost", "no request without an answer in time", Sure::Always,
       "counted by request; requests accepted by a router that died are excluded", &of_rule<Rule::NoLost>},
      {"repeats", "no attempt or rejection beyond what the class allows", Sure::Always,
       "each attempt is recorded where it arrives", &of_rule<Rule::Repeats>},
      {"drains", "no new attempt to a draining or gone node after the grace period", Sure::Always,
       "measured from the time at which that router was notified", &of_rule<Rule::Drains>},
      {"cold-nodes", "no cold node overloaded", Sure::Mostly,
       "notified routers may together send too much if a few expensive requests coincide",
       &of_rule<Rule::ColdNodes>},
      {"genuine", "each served response is the one a node made for the request", Sure::Always,
       "every byte is compared", &of_rule<Rule::Genuine>},
      {"alive", "no router crashes", Sure::Always, "observed by the process that started it",
       &of_rule<Rule::Alive>},
      {"accounts", "the lab followed each request to its end", Sure::Always,
       "a defect of the lab, not of a router", &of_rule<Rule::Accounts>},
      {"ends", "a run ends, without more events than it can require", Sure::Always,
       "the bound on events is ten times what storms need", &ends},
      {"metastable",
       "after the last fault service recovers in time to 98% of the fault-free figure, and stays there",
       Sure::Mostly,
       "chance is allowed four deviations, and lost caches the time that the origin needs to refill them",
       &metastable},
      {"adds-up", "many routers serve as well as four would in the same storm, within 3 points", Sure::Mostly,
       "faults that pick a share of the routers can't pick the same", &adds_up},
      {"starves", "no zone, class or tenant is left unserved while the others are served", Sure::Mostly,
       "classes depend differently on the origin and on nodes", &starves},
      {"alone", "nothing is sent to a node that all other routers withdrew", Sure::Mostly,
       "an update may still be under way to one router; routers that could not be notified are excluded",
       &alone},
      {"parts",
       "the routers' shared parts of the origin limit sum to at most 1.5 times the sum of their limits",
       Sure::Mostly, "updates under way differ from those already applied", &parts_add_up},
      {"living", "after the faults each router's count of living routers is right within one or a tenth",
       Sure::Mostly, "lost datagrams may make one router suspect another for a while", &counts_living},
      {"attempts", "at most 2.2 attempts at caches per try, over the complete run", Sure::Mostly,
       "severe storms require more", &bounded_attempts},
      {"connections", "new connections stay below one per request, plus those that routers need at the start",
       Sure::Mostly, "nodes that close early, and broken responses, cost one each", &bounded_connections},
  };
  return all;
}

const Oracle* find_oracle(const std::string& name) {
  for (const Oracle& o : oracles()) {
    if (name == o.name) return &o;
  }
  return nullptr;
}

std::vector<Verdict> judge(const Evidence& e) {
  std::vector<Verdict> all;
  for (const Oracle& o : oracles()) all.push_back(o.judge(e));
  return all;
}

} // namespace fernward::lab::storm
