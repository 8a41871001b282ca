#include "lab/storm/socket_comparison.h"

#include <algorithm>
#include <cmath>

#include "lab/stats/format_text.h"
#include "lab/storm/text_records.h"

namespace fernward::lab::storm {

using namespace fernward::model;

namespace {

constexpr double kAllowedDeviations = 4; // standard deviations
// Allowances for what the model omits: parsing, the kernel's queues, the start-up time of a process.
constexpr double kServiceAllowance = 0.01;
constexpr double kHitRatioAllowance = 0.02;   // of the hit ratio, and of attempts at caches per request
constexpr double kOriginReadAllowance = 0.01; // per request
constexpr double kWideBound = 0.05;           // an allowed deviation of service above this proves little

std::string verdict_text(const Verdict& verdict) {
  return !verdict.judged    ? "-"
         : verdict.broken() ? format_text("BROKEN %.2f", verdict.distance)
                            : format_text("kept %.2f", verdict.distance);
}

// Receives a run's records: counts its reads, and writes text records if a folder is given.
struct RunRecorder {
  RunRecorder(const std::string& folder, const std::string& name, ReadCounters& reads) : tee({}) {
    std::vector<Sink*> sinks = {&reads};
    if (!folder.empty()) {
      text_records = std::make_unique<TextRecordSink>(folder + "/" + name + ".txt");
      sinks.push_back(text_records.get());
    }
    tee = TeeSink(sinks);
  }
  std::unique_ptr<TextRecordSink> text_records;
  TeeSink tee;
};

} // namespace

Variation variation_of(const std::vector<double>& values) {
  Variation variation;
  variation.runs = values.size();
  if (values.empty()) return variation;
  for (const double v : values) variation.mean += v;
  variation.mean /= static_cast<double>(variation.runs);
  const auto [min_value, max_value] = std::minmax_element(values.begin(), values.end());
  variation.min = *min_value;
  variation.max = *max_value;
  if (variation.runs < 2) return variation;
  double squared_deviations = 0;
  for (const double v : values) squared_deviations += (v - variation.mean) * (v - variation.mean);
  variation.deviation = std::sqrt(squared_deviations / static_cast<double>(variation.runs - 1));
  return variation;
}

double allowed_deviation(const Variation& variation, double allowance) {
  const double mean_uncertainty =
      variation.runs > 0 ? std::sqrt(1 + 1 / static_cast<double>(variation.runs)) : 1;
  return kAllowedDeviations * variation.deviation * mean_uncertainty + allowance;
}

double distance(const Variation& variation, double value, double allowance) {
  const double deviation = std::abs(value - variation.mean);
  return deviation == 0 ? 0 : deviation / allowed_deviation(variation, allowance);
}

void ReadCounters::on(const AttemptEnded& record) {
  switch (record.outcome) {
    case ServerOutcome::Hit: ++hits; return;
    case ServerOutcome::Miss:
    case ServerOutcome::Pending: ++misses; return;
    case ServerOutcome::Fetched: ++origin_reads; return;
    default: return;
  }
}

std::vector<Figure> figures_of(const Spec& spec, const StormOutcome& outcome, const ReadCounters& reads) {
  std::vector<Figure> figures;
  const auto count_requests = [](const ServiceCounts& counts) {
    return static_cast<double>(std::max(counts.requests, 1u));
  };
  figures.push_back({"service", outcome.overall.service_share(), kServiceAllowance});
  for (const RequestGroup& group : outcome.observed.groups) {
    if (group.by != RequestGroup::By::Class) continue;
    const ServiceCounts counts = sum_between(group.series, 0, spec.duration_ms);
    // A difference of one request is allowed, which matters in small classes.
    figures.push_back({spec.classes[group.index].name, counts.service_share(),
                       kServiceAllowance + 1 / count_requests(counts)});
  }
  const double read_attempts = static_cast<double>(std::max<std::uint64_t>(reads.hits + reads.misses, 1));
  const double request_count = count_requests(outcome.overall);
  figures.push_back({"hits", static_cast<double>(reads.hits) / read_attempts, kHitRatioAllowance});
  figures.push_back(
      {"fetches", static_cast<double>(reads.origin_reads) / request_count, kOriginReadAllowance});
  figures.push_back({"attempts", static_cast<double>(outcome.observed.work.cache_attempts) / request_count,
                     kHitRatioAllowance});
  return figures;
}

bool StormComparison::has_broken(Confidence confidence) const {
  const auto any_broken = [&](const std::vector<Verdict>& verdicts) {
    for (std::size_t i = 0; i < verdicts.size(); ++i) {
      if (oracles()[i].confidence == confidence && verdicts[i].broken()) return true;
    }
    return false;
  };
  return any_broken(in_virtual) || any_broken(on_sockets);
}

StormComparison compare_with_sockets(const ComparisonSetup& setup, const Spec& spec, std::stop_token stop) {
  StormComparison comparison;
  comparison.seed = spec.seed;
  comparison.spec = spec;
  std::vector<std::vector<double>> values_by_figure;
  for (std::uint32_t i = 0; i <= setup.extra_virtual_runs && !stop.stop_requested(); ++i) {
    ReadCounters reads;
    RunSetup run_setup;
    run_setup.make_driver = [&] { return setup.make_virtual_driver(i); };
    run_setup.make_reference_driver = [&] { return setup.make_virtual_driver(0); };
    RunRecorder recorder(i == 0 ? setup.record_folder : "", spec.name + ".virtual", reads);
    run_setup.record_sink = &recorder.tee;
    StormOutcome outcome = execute(run_setup, spec, stop);
    bool certain_broken = false;
    for (std::size_t o = 0; o < outcome.verdicts.size(); ++o)
      certain_broken |= oracles()[o].confidence == Confidence::Certain && outcome.verdicts[o].broken();
    comparison.virtual_runs_broken += certain_broken ? 1 : 0;
    const auto figures = figures_of(spec, outcome, reads);
    values_by_figure.resize(figures.size());
    for (std::size_t f = 0; f < figures.size(); ++f) values_by_figure[f].push_back(figures[f].value);
    if (i == 0) comparison.in_virtual = std::move(outcome.verdicts);
  }
  for (std::uint32_t i = 0; i < setup.max_socket_runs && !comparison.judged && !stop.stop_requested(); ++i) {
    ReadCounters reads;
    RunSetup run_setup;
    run_setup.make_driver = setup.make_sockets_driver;
    run_setup.virtual_time = false;
    run_setup.make_reference_driver = [&] { return setup.make_virtual_driver(0); };
    RunRecorder recorder(setup.record_folder, spec.name + ".sockets", reads);
    run_setup.record_sink = &recorder.tee;
    StormOutcome outcome = execute(run_setup, spec, stop);
    comparison.send_delay_p99_ms = outcome.send_delay_p99_ms;
    if (outcome.is_void) {
      comparison.void_reasons.push_back(outcome.void_reason.empty() ? "stopped" : outcome.void_reason);
      continue;
    }
    comparison.judged = true;
    const auto figures = figures_of(spec, outcome, reads);
    for (std::size_t f = 0; f < figures.size(); ++f) {
      const Variation variation = variation_of(values_by_figure[f]);
      comparison.figures.push_back(
          {figures[f], variation, distance(variation, figures[f].value, figures[f].allowance)});
      comparison.max_distance = std::max(comparison.max_distance, comparison.figures.back().distance);
    }
    comparison.on_sockets = std::move(outcome.verdicts);
  }
  return comparison;
}

std::string comparison_text(const StormComparison& comparison) {
  std::string text =
      format_text("storm %llu: %u routers, %u nodes, %.0f/s, %.1f s, %zu faults\n",
                  static_cast<unsigned long long>(comparison.seed), router_count(comparison.spec),
                  node_count(comparison.spec), comparison.spec.load.rate_per_s,
                  comparison.spec.duration_ms / 1000, fault_spans(comparison.spec).size());
  for (const FaultSpan& span : fault_spans(comparison.spec)) {
    text += format_text("  %-16s %5.1f to %4.1f s\n", kFaultKindNames[static_cast<std::size_t>(span.kind)],
                        span.from_ms / 1000, span.to_ms / 1000);
  }
  for (const std::string& reason : comparison.void_reasons) text += "  void: " + reason + "\n";
  if (!comparison.judged) return text + "  no valid run on sockets to compare\n";
  text += format_text("  %-10s %8s %8s %9s %8s %8s\n", "", "sockets", "virtual", "deviation", "granted",
                      "distance");
  for (const ComparedFigure& figure : comparison.figures) {
    text += format_text("  %-10s %8.4f %8.4f %9.4f %8.4f %8.4f %8.4f %8.2f%s\n",
                        figure.on_sockets.name.c_str(), figure.on_sockets.value, figure.variation.mean,
                        figure.variation.deviation, figure.variation.min, figure.variation.max,
                        figure.on_sockets.allowance, figure.distance, figure.distance >= 1 ? "  BEYOND" : "");
  }
  std::size_t kept = 0, judged = 0;
  for (std::size_t i = 0; i < comparison.on_sockets.size(); ++i) {
    const Verdict &on_sockets = comparison.on_sockets[i], &in_virtual = comparison.in_virtual[i];
    const bool is_certain = oracles()[i].confidence == Confidence::Certain;
    judged += is_certain && on_sockets.judged && in_virtual.judged ? 1 : 0;
    kept +=
        is_certain && on_sockets.judged && in_virtual.judged && !on_sockets.broken() && !in_virtual.broken()
            ? 1
            : 0;
    if (!on_sockets.broken() && !in_virtual.broken()) continue;
    text += format_text("  %s: sockets %s (%s), virtual %s (%s)\n", oracles()[i].name,
                        verdict_text(on_sockets).c_str(), on_sockets.description.c_str(),
                        verdict_text(in_virtual).c_str(), in_virtual.description.c_str());
  }
  text += format_text("  certain oracles: %zu of %zu kept on both sides", kept, judged);
  if (comparison.virtual_runs_broken > 0)
    text += format_text("; broken in %zu runs in virtual time", comparison.virtual_runs_broken);
  return text + format_text("; send delay p99 %.2f ms; distance %.2f\n", comparison.send_delay_p99_ms,
                            comparison.max_distance);
}

Agreement agreement_of(const std::vector<StormComparison>& comparisons) {
  Agreement agreement;
  for (const StormComparison& comparison : comparisons) {
    agreement.broken +=
        comparison.has_broken(Confidence::Certain) || comparison.virtual_runs_broken > 0 ? 1 : 0;
    if (!comparison.judged) {
      ++agreement.void_count;
      continue;
    }
    ++agreement.judged;
    agreement.agreeing += comparison.agrees() ? 1 : 0;
    agreement.mean_distance += comparison.max_distance;
    agreement.max_distance = std::max(agreement.max_distance, comparison.max_distance);
    if (comparison.figures.empty()) continue;
    const ComparedFigure& service = comparison.figures.front();
    const double points = 100 * std::abs(service.on_sockets.value - service.variation.mean);
    agreement.mean_service_points += points;
    agreement.max_service_points = std::max(agreement.max_service_points, points);
    agreement.wide_bounds +=
        allowed_deviation(service.variation, service.on_sockets.allowance) > kWideBound ? 1 : 0;
  }
  if (agreement.judged > 0) {
    agreement.mean_distance /= agreement.judged;
    agreement.mean_service_points /= agreement.judged;
  }
  return agreement;
}

std::string agreement_text(const Agreement& agreement) {
  return format_text(
      "%u of %u storms agree, %u with a bound over 5 points; distance mean %.2f, max %.2f; "
      "service difference mean %.2f points, max "
      "%.2f; %u void, %u broke a certain oracle\n",
      agreement.agreeing, agreement.judged, agreement.wide_bounds, agreement.mean_distance,
      agreement.max_distance, agreement.mean_service_points, agreement.max_service_points,
      agreement.void_count, agreement.broken);
}

} // namespace fernward::lab::storm
