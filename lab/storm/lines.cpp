#include "lab/storm/lines.h"

#include <stdexcept>

namespace fernward::lab::storm {

using namespace fernward::model;

namespace {

constexpr const char* kHeard[] = {"served", "refused", "failed", "broken", "unreachable", "silence", "left"};
constexpr const char* kEnding[] = {"hit",   "miss", "pending",  "fetched", "written", "repeat",
                                   "error", "full", "draining", "overdue", "dropped", "lost"};
constexpr const char* kNode[] = {"started", "warm",     "draining",     "ended",        "tipped-over",
                                 "silent",  "returned", "neighbour-on", "neighbour-off"};
constexpr const char* kRouter[] = {"started",  "ready",  "term",     "killed", "ended", "crashed",
                                   "reloaded", "silent", "returned", "paused", "woke"};
constexpr const char* kState[] = {"ready", "draining", "gone"};

template <std::size_t N, typename E>
const char* word(const char* const (&words)[N], E value) {
  const auto at = static_cast<std::size_t>(value);
  return at < N ? words[at] : "?";
}
unsigned long long number(std::uint64_t n) { return n; }

} // namespace

Lines::Lines(const std::string& path) : file_(std::fopen(path.c_str(), "w"), &std::fclose) {
  if (!file_) throw std::runtime_error(path + " can't be opened for writing");
}

void Lines::on(const Drawn& d) {
  std::fprintf(file_.get(), "%.1f drawn request=%llu class=%u zone=%u key=%llu work=%.1f worth=%.2f\n", d.at,
               number(d.request), d.cls, d.zone, number(d.key), d.work_ms, d.worth);
}
void Lines::on(const Tried& t) {
  std::fprintf(
      file_.get(), "%.1f tried request=%llu try=%llu number=%u router=%u taken=%d new=%d deadline=%.1f\n",
      t.at, number(t.request), number(t.try_id), t.number, t.router, t.taken, t.new_connection, t.deadline);
}
void Lines::on(const Answered& a) {
  std::fprintf(file_.get(), "%.1f answered request=%llu try=%llu router=%u %s retry_after=%.0f%s\n", a.at,
               number(a.request), number(a.try_id), a.router, word(kHeard, a.heard), a.retry_after_ms,
               a.surplus ? " surplus" : "");
}
void Lines::on(const Closed& c) {
  std::fprintf(file_.get(), "%.1f closed request=%llu %s tries=%u latency=%.1f earned=%.2f\n", c.at,
               number(c.request), word(kHeard, c.end), c.tries, c.latency_ms, c.earned);
}
void Lines::on(const Arrived& a) {
  std::fprintf(file_.get(), "%.1f arrived attempt=%llu machine=%u try=%llu router=%u sent=%.1f work=%.1f\n",
               a.at, number(a.attempt), a.machine, number(a.try_id), a.router, a.sent_at, a.work_ms);
}
void Lines::on(const AttemptEnded& e) {
  std::fprintf(file_.get(), "%.1f ended attempt=%llu machine=%u %s wanted=%d waited=%.1f worked=%.1f\n", e.at,
               number(e.attempt), e.machine, word(kEnding, e.ending), e.wanted, e.waited_ms, e.worked_ms);
}
void Lines::on(const NodeEvent& e) {
  std::fprintf(file_.get(), "%.1f node machine=%u %s\n", e.at, e.machine, word(kNode, e.what));
}
void Lines::on(const RouterEvent& e) {
  std::fprintf(file_.get(), "%.1f router router=%u %s\n", e.at, e.router, word(kRouter, e.what));
}
void Lines::on(const Told& t) {
  std::fprintf(file_.get(), "%.1f told router=%u machine=%u %s%s%s\n", t.at, t.router, t.machine,
               word(kState, t.state), t.cached ? " cached" : "", t.deemed ? " deemed" : "");
}
void Lines::on(const Mark& m) {
  std::fprintf(file_.get(), "%.1f fault event=%u %s\n", m.at, m.event, m.begins ? "begins" : "ends");
}
void Lines::on(const RouterLog& l) {
  std::fprintf(file_.get(), "%.1f says router=%u %s\n", l.at, l.router, l.text);
}

} // namespace fernward::lab::storm
