#include "lab/storm/text_records.h"

#include <stdexcept>

namespace fernward::lab::storm {

using namespace fernward::model;

namespace {

constexpr const char* kTryOutcomeNames[] = {"served",      "refused", "failed", "broken",
                                            "unreachable", "silence", "left"};
constexpr const char* kAttemptOutcomeNames[] = {"hit",   "miss", "pending",  "fetched", "written", "repeat",
                                                "error", "full", "draining", "overdue", "dropped", "lost"};
constexpr const char* kNodeEventNames[] = {"started",  "warm",         "draining",
                                           "ended",    "tipped-over",  "silent",
                                           "returned", "neighbour-on", "neighbour-off"};
constexpr const char* kRouterEventNames[] = {"started",  "ready",  "term",     "killed", "ended", "crashed",
                                             "reloaded", "silent", "returned", "paused", "woke"};
constexpr const char* kServerStateNames[] = {"ready", "draining", "gone"};

template <std::size_t N, typename E>
const char* name_of(const char* const (&names)[N], E value) {
  const auto index = static_cast<std::size_t>(value);
  return index < N ? names[index] : "?";
}
unsigned long long printable(std::uint64_t number) { return number; } // for %llu

} // namespace

TextRecordSink::TextRecordSink(const std::string& path) : file_(std::fopen(path.c_str(), "w"), &std::fclose) {
  if (!file_) throw std::runtime_error(path + " can't be opened for writing");
}

void TextRecordSink::on(const DrawnRequest& record) {
  std::fprintf(file_.get(), "%.1f drawn request=%llu class=%u zone=%u key=%llu work=%.1f worth=%.2f\n",
               record.at, printable(record.request), record.cls, record.zone, printable(record.key),
               record.work_ms, record.priority_weight);
}
void TextRecordSink::on(const TrySent& record) {
  std::fprintf(file_.get(),
               "%.1f tried request=%llu try=%llu number=%u router=%u taken=%d new=%d deadline=%.1f\n",
               record.at, printable(record.request), printable(record.try_id), record.number, record.router,
               record.accepted, record.new_connection, record.deadline);
}
void TextRecordSink::on(const TryEnded& record) {
  std::fprintf(file_.get(), "%.1f answered request=%llu try=%llu router=%u %s retry_after=%.0f%s\n",
               record.at, printable(record.request), printable(record.try_id), record.router,
               name_of(kTryOutcomeNames, record.outcome), record.retry_after_ms,
               record.surplus ? " surplus" : "");
}
void TextRecordSink::on(const RequestEnded& record) {
  std::fprintf(file_.get(), "%.1f closed request=%llu %s tries=%u latency=%.1f earned=%.2f\n", record.at,
               printable(record.request), name_of(kTryOutcomeNames, record.outcome), record.tries,
               record.latency_ms, record.earned_weight);
}
void TextRecordSink::on(const AttemptArrived& record) {
  std::fprintf(file_.get(), "%.1f arrived attempt=%llu machine=%u try=%llu router=%u sent=%.1f work=%.1f\n",
               record.at, printable(record.attempt), record.machine, printable(record.try_id), record.router,
               record.sent_at, record.work_ms);
}
void TextRecordSink::on(const AttemptEnded& record) {
  std::fprintf(file_.get(), "%.1f ended attempt=%llu machine=%u %s wanted=%d waited=%.1f worked=%.1f\n",
               record.at, printable(record.attempt), record.machine,
               name_of(kAttemptOutcomeNames, record.outcome), record.awaited, record.queued_ms,
               record.work_done_ms);
}
void TextRecordSink::on(const NodeEvent& record) {
  std::fprintf(file_.get(), "%.1f node machine=%u %s\n", record.at, record.machine,
               name_of(kNodeEventNames, record.what));
}
void TextRecordSink::on(const RouterEvent& record) {
  std::fprintf(file_.get(), "%.1f router router=%u %s\n", record.at, record.router,
               name_of(kRouterEventNames, record.what));
}
void TextRecordSink::on(const EndpointNotified& record) {
  std::fprintf(file_.get(), "%.1f told router=%u machine=%u %s%s%s\n", record.at, record.router,
               record.machine, name_of(kServerStateNames, record.state), record.cached ? " cached" : "",
               record.assumed ? " deemed" : "");
}
void TextRecordSink::on(const EventMark& record) {
  std::fprintf(file_.get(), "%.1f fault event=%u %s\n", record.at, record.event,
               record.begins ? "begins" : "ends");
}
void TextRecordSink::on(const RouterLogLine& record) {
  std::fprintf(file_.get(), "%.1f says router=%u %s\n", record.at, record.router, record.text);
}

} // namespace fernward::lab::storm
