#include "gossip/fleet.h"

#include <algorithm>

namespace fernward::gossip {
namespace {

constexpr double kEpochMs = 1577836800000; // 2020
// Bytes of origin reports in a datagram: the sender's own and those of six other routers. At five datagrams
// per second and 300 routers that covers half of the tier within a half-life.
constexpr std::size_t kFactsRoom = 128;

} // namespace

std::uint32_t incarnation_at(double unix_ms) {
  return static_cast<std::uint32_t>(std::clamp((unix_ms - kEpochMs) / 100, 1.0, 4e9));
}

Fleet::Fleet(Id self, std::size_t count, std::uint32_t incarnation, const membership::Rules& rules,
             std::uint64_t seed, std::uint8_t zone)
    : members_(self, count, incarnation, rules, seed),
      facts_(self, count, seed),
      findings_(self, zone, seed) {}

void Fleet::tick(double now, const Own& own, std::vector<Out>& out) {
  own_ = own;
  members_.tick(now, packets_);
  const double demand = own_.demand >= 0 ? own_.demand : facts_.demand(now);
  facts_.own(now, members_.word(), {demand, own.limit, own.answer_ms});
  findings_.own(now, members_.word(), own.findings);
  send(now, out);
}

bool Fleet::take(double now, Id from, std::string_view bytes, std::vector<Out>& out) {
  const auto d = membership::decode(bytes);
  if (!d) {
    ++counts_.damaged;
    return false;
  }
  if (!members_.take(now, from, *d, packets_)) return false;
  ++counts_.taken;
  told_.clear();
  facts_.read(now, from, d->facts, told_);
  findings_.read(now, from, d->facts);
  for (const auto& t : told_) members_.heard(t.owner, t.stamp.incarnation);
  send(now, out);
  return true;
}

void Fleet::leave(double now, std::vector<Out>& out) {
  members_.leave(packets_);
  send(now, out);
}

void Fleet::send(double now, std::vector<Out>& out) {
  for (membership::Packet& p : packets_) {
    const std::size_t room = membership::room_for_facts(p.what);
    p.what.facts = facts_.write(now, std::min(kFactsRoom, room));
    p.what.facts += findings_.write(now, std::min(Findings::kRoom, room - p.what.facts.size()));
    out.push_back({p.to, membership::encode(p.what)});
    ++counts_.sent;
    counts_.sent_bytes += out.back().bytes.size();
  }
  packets_.clear();
}

View Fleet::view(double now) {
  View v;
  v.living = static_cast<double>(members_.living());
  v.heard = static_cast<double>(facts_.heard(now));
  if (v.heard > 0) {
    v.ledger_part = facts_.part(now);
    const Facts::Answers answers = facts_.answers(now);
    v.answer_ms = answers.ms, v.answer_age_ms = answers.age_ms;
  }
  return v;
}

Counts Fleet::counts() const {
  Counts c = counts_;
  c.passed_over = members_.passed_over() + facts_.passed_over() + findings_.passed_over();
  return c;
}

} // namespace fernward::gossip
