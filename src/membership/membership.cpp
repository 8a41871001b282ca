#include "membership/membership.h"

#include <algorithm>
#include <cmath>

namespace fernward::membership {
namespace {

constexpr double kMostDoubt = 8;        // as in Lifeguard
constexpr double kSuspectTurns = 2;     // until a suspect is dead, per power of ten of members
constexpr double kSuspectMost = 3;      // times as long if no other member suspects it
constexpr std::size_t kMostRounds = 64; // including pings for other members
constexpr std::size_t kMostSayings = 128;
constexpr std::size_t kWordsAtOnce = 8; // 104 bytes, next to 128 of payload
constexpr std::size_t kFew = 64;
constexpr std::size_t kDeadTurn = 8;        // one period in so many may ping a dead member
constexpr std::uint32_t kMostAhead = 36000; // tenths of a second: an hour
constexpr double kLateTurns = 4;            // periods without a tick: this process was paused
// A datagram from a member within so many periods is later than the pings on which other routers base a
// suspicion of it.
constexpr double kKnownTurns = 3;

} // namespace

Membership::Membership(Id self, std::size_t count, std::uint32_t incarnation, const Rules& rules,
                       std::uint64_t seed)
    : self_(self),
      rules_(rules),
      random_{mix(seed ^ 0x6d656d62)},
      stamp_{incarnation, 0},
      word_{incarnation, 0},
      all_(count),
      living_(count) {
  for (std::size_t i = 0; i < count; ++i) {
    if (i != self_) order_.push_back(static_cast<Id>(i));
  }
  at_ = order_.size(); // shuffled at the first ping
}

// The rate of false suspicions grows with the tier, but the room for updates in datagrams does not: a larger
// tier therefore sends one more ping before a suspicion.
double Membership::tries() const { return all_.size() > kFew ? 4 : 3; }

double Membership::most_told() const {
  return 3 * std::ceil(std::log2(static_cast<double>(all_.size()) + 1));
}

// ---- sending ----

void Membership::say(const Word& word) {
  std::erase_if(sayings_, [&](const Saying& s) { return s.word.who == word.who; });
  sayings_.push_front({word, 0});
  if (sayings_.size() > kMostSayings) sayings_.pop_back();
}

Packet Membership::packet(Id to, Kind kind, std::uint16_t round, Id about) {
  Packet p{to, {}};
  p.what.kind = kind;
  p.what.from = self_;
  p.what.about = about;
  p.what.stamp = stamp_;
  p.what.round = round;
  // A suspect is notified first: only its own later stamp refutes the suspicion.
  if (all_[to].standing == State::Suspect || all_[to].standing == State::Dead) {
    p.what.words.push_back({to, Standing::Suspect, all_[to].stamp, self_});
  }
  std::size_t n = std::min(kWordsAtOnce, sayings_.size());
  for (; n > 0; --n) { // least sent first; each goes behind those sent as often
    Saying s = sayings_.front();
    sayings_.pop_front();
    p.what.words.push_back(s.word);
    if (++s.told >= most_told()) continue;
    const auto behind = std::find_if(sayings_.begin(), sayings_.end(),
                                     [&](const Saying& other) { return other.told > s.told; });
    sayings_.insert(behind, s);
  }
  return p;
}

void Membership::ping(double now, Id target, std::vector<Packet>& out) {
  if (rounds_.size() >= kMostRounds) rounds_.erase(rounds_.begin());
  Round r;
  r.target = target;
  r.number = ++round_;
  r.sent_at = now;
  rounds_.push_back(r);
  out.push_back(packet(target, Kind::Ping, r.number, target));
}

Id Membership::next_target() {
  const bool dead_too = ++periods_ % kDeadTurn == 0;
  for (std::size_t tries = 0; tries < 2 * order_.size(); ++tries) {
    if (at_ >= order_.size()) {
      at_ = 0;
      for (std::size_t i = order_.size(); i > 1; --i) {
        std::swap(order_[i - 1], order_[static_cast<std::size_t>(random_.unit() * static_cast<double>(i))]);
      }
    }
    const Id next = order_[at_++];
    const State s = all_[next].standing;
    if (s < State::Dead || (dead_too && random_.unit() < 0.5)) return next;
  }
  return order_[static_cast<std::size_t>(random_.unit() * static_cast<double>(order_.size()))];
}

Id Membership::any_living(Id but) {
  for (int tries = 0; tries < 8; ++tries) {
    const Id one = order_[static_cast<std::size_t>(random_.unit() * static_cast<double>(order_.size()))];
    if (one != but && all_[one].standing == State::Alive) return one;
  }
  return self_;
}

void Membership::tick(double now, std::vector<Packet>& out) {
  next_ = now + rules_.period_ms * (0.9 + 0.2 * random_.unit());
  if (left_ || order_.empty()) return;
  if (++word_.sequence == 0) stamp_ = {++word_.incarnation, 0};
  if (ticked_at_ != kNever && now - ticked_at_ > kLateTurns * rules_.period_ms) {
    // This process was paused, not the others: answers that arrived meanwhile are unread, so no pending ping
    // counts against its target.
    doubt_ = kMostDoubt;
    rounds_.clear();
    for (Member& m : all_) m.dies_at += now - ticked_at_;
  }
  ticked_at_ = now;
  for (std::size_t i = 0; i < rounds_.size(); ++i) {
    Round& r = rounds_[i];
    const double out_ms = now - r.sent_at;
    if (r.for_other) {
      if (!r.answered && out_ms >= 0.8 * rules_.period_ms && !r.asked) {
        r.asked = true; // the nack is sent
        out.push_back(packet(r.of, Kind::Nack, r.of_round, r.target));
      }
      continue;
    }
    if (r.answered || out_ms < 0.9 * patience()) continue;
    if (r.asked && out_ms >= (tries() - 0.1) * patience()) {
      r.answered = true; // handled
      if (r.nacks < r.expected) doubt_ = std::min(kMostDoubt, doubt_ + 1);
      suspect(now, r.target, self_, false);
      continue;
    }
    // Repeated at each tick until then: with a fifth of the datagrams lost, one ping and three ping requests
    // fail for one live member in thirteen, and the updates about these members and their return exceed by
    // far what all datagrams can carry.
    out.push_back(packet(r.target, Kind::Ping, r.number, r.target));
    for (std::uint32_t n = 0; n < rules_.asked; ++n) {
      const Id helper = any_living(r.target);
      if (helper == self_) continue;
      r.expected += !r.asked;
      out.push_back(packet(helper, Kind::Ask, r.number, r.target));
    }
    r.asked = true;
  }
  std::erase_if(rounds_,
                [&](const Round& r) { return r.answered || now - r.sent_at > (tries() + 1) * patience(); });
  for (std::size_t i = 0; i < all_.size(); ++i) {
    if (all_[i].standing != State::Suspect || now < all_[i].dies_at) continue;
    set(static_cast<Id>(i), State::Dead);
    say({static_cast<Id>(i), Standing::Dead, all_[i].stamp, self_});
  }
  ping(now, next_target(), out);
}

void Membership::leave(std::vector<Packet>& out) {
  if (left_ || order_.empty()) return;
  left_ = true;
  pass(stamp_);
  const Word word{self_, Standing::Left, stamp_, self_};
  for (std::uint32_t n = 0; n < rules_.asked; ++n) {
    const Id one = any_living(self_);
    if (one == self_) continue;
    Packet p = packet(one, Kind::Ping, 0, one);
    p.what.words.insert(p.what.words.begin(), word);
    out.push_back(std::move(p));
  }
}

// ---- receiving ----

// Advances this router's stamp beyond `stamp` and beyond all of its own.
void Membership::pass(Stamp said) {
  stamp_ = std::max(stamp_, said);
  if (++stamp_.sequence == 0) ++stamp_.incarnation;
  if (stamp_.incarnation > word_.incarnation) word_ = {stamp_.incarnation, 0};
}

void Membership::set(Id who, State state) {
  Member& m = all_[who];
  living_ += state <= State::Suspect;
  living_ -= m.standing <= State::Suspect;
  m.standing = state;
}

double Membership::least_suspicion() const {
  return kSuspectTurns * std::max(1.0, std::log10(static_cast<double>(all_.size()))) * patience();
}

// `reported_dead`: another router declared it dead after its suspicion timed out there; the member's own next
// stamp still refutes that.
void Membership::suspect(double now, Id who, Id by, bool dead) {
  Member& m = all_[who];
  if (m.standing >= State::Dead) return;
  const double least = least_suspicion(), most = kSuspectMost * least;
  if (m.standing == State::Alive) {
    set(who, State::Suspect);
    m.agree = 0;
    m.dies_at = now + (dead ? least : most);
    say({who, Standing::Suspect, m.stamp, by});
    return;
  }
  if (dead) m.dies_at = std::min(m.dies_at, now + least);
  if (by == self_ || m.agree >= std::size(m.agreed)) return;
  if (std::find(m.agreed, m.agreed + m.agree, by) != m.agreed + m.agree) return;
  m.agreed[m.agree++] = by;
  // Lifeguard: decreases from the maximum to the minimum as confirmations arrive.
  const double left = most - (most - least) * std::log(m.agree + 1.0) / std::log(4.0);
  m.dies_at = std::min(m.dies_at, now + left);
  say({who, Standing::Suspect, m.stamp, by});
}

void Membership::heard(Id who, std::uint32_t incarnation) {
  if (who < all_.size() && incarnation > all_[who].stamp.incarnation) heard(who, Stamp{incarnation, 0});
}

void Membership::heard(Id who, Stamp stamp) {
  if (who >= all_.size() || who == self_) return;
  Member& m = all_[who];
  if (stamp <= m.stamp) return;
  const bool news = m.standing != State::Alive;
  m.stamp = stamp;
  set(who, State::Alive);
  if (news) say({who, Standing::Alive, stamp, self_});
}

void Membership::take(double now, const Word& word) {
  if (word.who >= all_.size() || word.by >= all_.size()) {
    ++passed_over_;
    return;
  }
  if (word.who == self_) {
    if (word.standing == Standing::Alive ? word.stamp <= stamp_ : word.stamp < stamp_)
      return; // refuted since
    if (word.stamp.incarnation > stamp_.incarnation + kMostAhead) {
      ++passed_over_; // more than a clock that was set back can explain
      return;
    }
    // Other routers have received a later stamp, from a process whose clock was ahead, or suspect this
    // router: its next stamp refutes that.
    pass(word.stamp);
    say({self_, Standing::Alive, stamp_, self_});
    if (word.standing != Standing::Alive) doubt_ = std::min(kMostDoubt, doubt_ + 1);
    return;
  }
  Member& m = all_[word.who];
  switch (word.standing) {
    case Standing::Alive: return heard(word.who, word.stamp);
    case Standing::Suspect:
    case Standing::Dead:
    case Standing::Left:
      if (m.standing >= State::Dead) return;
      if (word.stamp < m.stamp) { // refuted since, unknown to the reporter
        if (m.standing == State::Alive && word.stamp.incarnation == m.stamp.incarnation) remind(word.who);
        return;
      }
      // A recent datagram from the member itself outweighs a suspicion of others.
      if (word.standing != Standing::Left && now - m.direct_at < kKnownTurns * rules_.period_ms) return;
      // Ignored if it concerns a later process than this router knows, unless it knows none.
      if (word.stamp.incarnation > m.stamp.incarnation && m.stamp.incarnation != 0) return;
      m.stamp = std::max(m.stamp, word.stamp);
      if (word.standing != Standing::Left &&
          (word.standing == Standing::Suspect || m.standing == State::Alive))
        return suspect(now, word.who, word.by, word.standing == Standing::Dead);
      set(word.who, word.standing == Standing::Left ? State::Left : State::Dead);
      return say(word);
  }
}

void Membership::remind(Id who) {
  const auto of = [&](const Saying& s) { return s.word.who == who; };
  if (std::none_of(sayings_.begin(), sayings_.end(), of)) say({who, Standing::Alive, all_[who].stamp, self_});
}

bool Membership::take(double now, Id from, const Datagram& d, std::vector<Packet>& out) {
  if (from >= all_.size() || from == self_ || d.from != from || d.about >= all_.size() ||
      d.stamp.incarnation < all_[from].direct) {
    ++passed_over_; // of another router, or of the previous process
    return false;
  }
  if (left_) return false;
  Member& sender = all_[from];
  if (d.stamp.incarnation > sender.direct || d.stamp < sender.stamp) {
    // A member's own datagram takes precedence over claims of others; a delayed one changes nothing.
    if (d.stamp.incarnation != sender.stamp.incarnation) sender.stamp = {};
    sender.direct = d.stamp.incarnation;
  }
  heard(from, d.stamp);
  sender.direct_at = now;
  // It is alive, as far as this router knows. The other routers accept only a later stamp, which the member
  // creates once it is notified of the suspicion.
  const bool doubted = sender.standing != State::Alive;
  if (sender.standing == State::Suspect) {
    set(from, State::Alive);
    std::erase_if(sayings_, [&](const Saying& s) { return s.word.who == from; });
  }
  for (const Word& word : d.words) take(now, word);
  const auto mine = std::find_if(rounds_.begin(), rounds_.end(),
                                 [&](const Round& r) { return r.number == d.round && r.target == d.about; });
  switch (d.kind) {
    case Kind::Ping:
      if (d.round == 0) break;
      out.push_back(packet(from, Kind::Ack, d.round, self_));
      if (doubted && sender.standing == State::Alive)
        out.back().what.words.insert(out.back().what.words.begin(),
                                     {from, Standing::Suspect, sender.stamp, self_});
      break;
    case Kind::Ask: {
      if (d.about == self_ || rounds_.size() >= kMostRounds) break;
      ping(now, d.about, out);
      Round& r = rounds_.back();
      r.for_other = true;
      r.of = from;
      r.of_round = d.round;
      break;
    }
    case Kind::Ack:
      if (mine == rounds_.end() || mine->answered) break;
      mine->answered = true;
      if (mine->for_other) {
        Packet p = packet(mine->of, Kind::Ack, mine->of_round, mine->target);
        const Member& m = all_[mine->target];
        p.what.words.insert(p.what.words.begin(), {mine->target, Standing::Alive, m.stamp, self_});
        out.push_back(std::move(p));
      } else if (d.from == mine->target) {
        doubt_ = std::max(0.0, doubt_ - 1);
      }
      break;
    case Kind::Nack:
      if (mine != rounds_.end() && !mine->for_other) ++mine->nacks;
      break;
  }
  return true;
}

} // namespace fernward::membership
