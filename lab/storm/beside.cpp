#include "lab/storm/beside.h"

#include <algorithm>
#include <cmath>

#include "lab/stats/format.h"
#include "lab/storm/lines.h"

namespace fernward::lab::storm {

using namespace fernward::model;

namespace {

constexpr double kDeviations = 4;
// Allowances for what the model omits: parsing, the kernel's queues, the start-up time of a process.
constexpr double kGrantedService = 0.01;
constexpr double kGrantedHits = 0.02;
constexpr double kGrantedReads = 0.01; // per request
constexpr double kWide = 0.05;         // a larger bound says little about the model

std::string verdict_text(const Verdict& v) {
  return !v.judged ? "-" : v.broken() ? format("BROKEN %.2f", v.distance) : format("kept %.2f", v.distance);
}

// Receives a run's records: counts its reads, and writes text records if a folder is given.
struct Hearing {
  Hearing(const std::string& folder, const std::string& name, Reads& reads) : tee({}) {
    std::vector<Sink*> sinks = {&reads};
    if (!folder.empty()) {
      lines = std::make_unique<Lines>(folder + "/" + name + ".txt");
      sinks.push_back(lines.get());
    }
    tee = Tee(sinks);
  }
  std::unique_ptr<Lines> lines;
  Tee tee;
};

} // namespace

Chance chance_of(const std::vector<double>& values) {
  Chance c;
  c.plays = values.size();
  if (values.empty()) return c;
  for (const double v : values) c.mean += v;
  c.mean /= static_cast<double>(c.plays);
  const auto [least, most] = std::minmax_element(values.begin(), values.end());
  c.least = *least;
  c.most = *most;
  if (c.plays < 2) return c;
  double squares = 0;
  for (const double v : values) squares += (v - c.mean) * (v - c.mean);
  c.deviation = std::sqrt(squares / static_cast<double>(c.plays - 1));
  return c;
}

double bound(const Chance& chance, double granted) {
  const double spread = chance.plays > 0 ? std::sqrt(1 + 1 / static_cast<double>(chance.plays)) : 1;
  return kDeviations * chance.deviation * spread + granted;
}

double distance(const Chance& chance, double seen, double granted) {
  const double off = std::abs(seen - chance.mean);
  return off == 0 ? 0 : off / bound(chance, granted);
}

void Reads::on(const AttemptEnded& e) {
  switch (e.ending) {
    case Ending::Hit: ++hits; return;
    case Ending::Miss:
    case Ending::Pending: ++misses; return;
    case Ending::Fetched: ++fetched; return;
    default: return;
  }
}

std::vector<Figure> figures_of(const Spec& spec, const Outcome& out, const Reads& reads) {
  std::vector<Figure> all;
  const auto requests = [](const Cell& c) { return static_cast<double>(std::max(c.drawn, 1u)); };
  all.push_back({"service", out.whole.service(), kGrantedService});
  for (const Group& g : out.seen.groups) {
    if (g.by != Group::By::Class) continue;
    const Cell cell = over(g.series, 0, spec.duration_ms);
    // A difference of one request is allowed, which matters in small classes.
    all.push_back({spec.classes[g.number].name, cell.service(), kGrantedService + 1 / requests(cell)});
  }
  const double read = static_cast<double>(std::max<std::uint64_t>(reads.hits + reads.misses, 1));
  const double drawn = requests(out.whole);
  all.push_back({"hits", static_cast<double>(reads.hits) / read, kGrantedHits});
  all.push_back({"fetches", static_cast<double>(reads.fetched) / drawn, kGrantedReads});
  all.push_back({"attempts", static_cast<double>(out.seen.work.at_caches) / drawn, kGrantedHits});
  return all;
}

bool Pair::breaks(Sure sure) const {
  const auto broken = [&](const std::vector<Verdict>& verdicts) {
    for (std::size_t i = 0; i < verdicts.size(); ++i) {
      if (oracles()[i].sure == sure && verdicts[i].broken()) return true;
    }
    return false;
  };
  return broken(in_virtual) || broken(on_sockets);
}

Pair play_beside(const Besides& besides, const Spec& spec, std::stop_token stop) {
  Pair pair;
  pair.seed = spec.seed;
  pair.spec = spec;
  std::vector<std::vector<double>> chance; // by figure
  for (std::uint32_t i = 0; i <= besides.plays && !stop.stop_requested(); ++i) {
    Reads reads;
    Rig rig;
    rig.driver = [&] { return besides.in_virtual(i); };
    rig.calm = [&] { return besides.in_virtual(0); };
    Hearing hearing(i == 0 ? besides.records : "", spec.name + ".virtual", reads);
    rig.hears = &hearing.tee;
    Outcome out = play(rig, spec, stop);
    bool broke = false;
    for (std::size_t o = 0; o < out.verdicts.size(); ++o)
      broke |= oracles()[o].sure == Sure::Always && out.verdicts[o].broken();
    pair.chance_broke += broke ? 1 : 0;
    const auto figures = figures_of(spec, out, reads);
    chance.resize(figures.size());
    for (std::size_t f = 0; f < figures.size(); ++f) chance[f].push_back(figures[f].value);
    if (i == 0) pair.in_virtual = std::move(out.verdicts);
  }
  for (std::uint32_t i = 0; i < besides.tries && !pair.judged && !stop.stop_requested(); ++i) {
    Reads reads;
    Rig rig;
    rig.driver = besides.sockets;
    rig.exact = false;
    rig.calm = [&] { return besides.in_virtual(0); };
    Hearing hearing(besides.records, spec.name + ".sockets", reads);
    rig.hears = &hearing.tee;
    Outcome out = play(rig, spec, stop);
    pair.late_p99_ms = out.late_p99_ms;
    if (out.is_void) {
      pair.voided.push_back(out.why_void.empty() ? "stopped" : out.why_void);
      continue;
    }
    pair.judged = true;
    const auto figures = figures_of(spec, out, reads);
    for (std::size_t f = 0; f < figures.size(); ++f) {
      const Chance of = chance_of(chance[f]);
      pair.figures.push_back({figures[f], of, distance(of, figures[f].value, figures[f].granted)});
      pair.furthest = std::max(pair.furthest, pair.figures.back().distance);
    }
    pair.on_sockets = std::move(out.verdicts);
  }
  return pair;
}

std::string pair_text(const Pair& pair) {
  std::string text =
      format("storm %llu: %u routers, %u nodes, %.0f/s, %.1f s, %zu faults\n",
             static_cast<unsigned long long>(pair.seed), routers_of(pair.spec), nodes_of(pair.spec),
             pair.spec.load.rate_per_s, pair.spec.duration_ms / 1000, spans_of(pair.spec).size());
  for (const Span& s : spans_of(pair.spec)) {
    text += format("  %-16s %5.1f to %4.1f s\n", kKindNames[static_cast<std::size_t>(s.kind)],
                   s.from_ms / 1000, s.to_ms / 1000);
  }
  for (const std::string& why : pair.voided) text += "  void: " + why + "\n";
  if (!pair.judged) return text + "  no valid run on sockets to compare\n";
  text +=
      format("  %-10s %8s %8s %9s %8s %8s\n", "", "sockets", "virtual", "deviation", "granted", "distance");
  for (const Compared& c : pair.figures) {
    text += format("  %-10s %8.4f %8.4f %9.4f %8.4f %8.4f %8.4f %8.2f%s\n", c.sockets.name.c_str(),
                   c.sockets.value, c.chance.mean, c.chance.deviation, c.chance.least, c.chance.most,
                   c.sockets.granted, c.distance, c.distance >= 1 ? "  BEYOND" : "");
  }
  std::size_t kept = 0, judged = 0;
  for (std::size_t i = 0; i < pair.on_sockets.size(); ++i) {
    const Verdict &here = pair.on_sockets[i], &there = pair.in_virtual[i];
    const bool sure = oracles()[i].sure == Sure::Always;
    judged += sure && here.judged && there.judged ? 1 : 0;
    kept += sure && here.judged && there.judged && !here.broken() && !there.broken() ? 1 : 0;
    if (!here.broken() && !there.broken()) continue;
    text += format("  %s: sockets %s (%s), virtual %s (%s)\n", oracles()[i].name, verdict_text(here).c_str(),
                   here.what.c_str(), verdict_text(there).c_str(), there.what.c_str());
  }
  text += format("  certain oracles: %zu of %zu kept on both sides", kept, judged);
  if (pair.chance_broke > 0) text += format("; broken in %zu runs in virtual time", pair.chance_broke);
  return text + format("; send delay p99 %.2f ms; distance %.2f\n", pair.late_p99_ms, pair.furthest);
}

Agreement agreement_of(const std::vector<Pair>& pairs) {
  Agreement a;
  for (const Pair& p : pairs) {
    a.broke += p.breaks(Sure::Always) || p.chance_broke > 0 ? 1 : 0;
    if (!p.judged) {
      ++a.voided;
      continue;
    }
    ++a.judged;
    a.agree += p.agrees() ? 1 : 0;
    a.mean += p.furthest;
    a.worst = std::max(a.worst, p.furthest);
    if (p.figures.empty()) continue;
    const Compared& service = p.figures.front();
    const double points = 100 * std::abs(service.sockets.value - service.chance.mean);
    a.mean_points += points;
    a.worst_points = std::max(a.worst_points, points);
    a.wide += bound(service.chance, service.sockets.granted) > kWide ? 1 : 0;
  }
  if (a.judged > 0) {
    a.mean /= a.judged;
    a.mean_points /= a.judged;
  }
  return a;
}

std::string agreement_text(const Agreement& a) {
  return format(
      "%u of %u storms agree, %u with a bound over 5 points; distance mean %.2f, max %.2f; "
      "service difference %.2f points mean, %.2f "
      "max; %u void, %u broke a certain oracle\n",
      a.agree, a.judged, a.wide, a.mean, a.worst, a.mean_points, a.worst_points, a.voided, a.broke);
}

} // namespace fernward::lab::storm
