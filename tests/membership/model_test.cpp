// Explores the states of three routers over a few rounds: all orders and losses of datagrams, false updates
// and a crash. Guards against stamps that decrease or exceed the owner's, and live routers declared dead by
// outdated updates.
#include <doctest/doctest.h>

#include <algorithm>
#include <string_view>
#include <unordered_set>

#include "membership/membership.h"

namespace fernward::membership {

// Serializes the state of a router: two routers with equal bytes behave alike, except for random draws.
struct Inside {
  static void append(const Membership& m, std::string& to) {
    const auto add = [&](auto value) { to.append(reinterpret_cast<const char*>(&value), sizeof value); };
    const auto word = [&](const Word& w) { add(w.who), add(w.standing), add(w.by), stamp(w.stamp, to); };
    stamp(m.stamp_, to), add(m.doubt_), add(m.at_), add(m.round_);
    for (const Id id : m.order_) add(id);
    for (const auto& one : m.all_) {
      stamp(one.stamp, to), add(one.dies_at), add(one.direct_at), add(one.standing), add(one.agree);
      for (std::uint8_t i = 0; i < one.agree; ++i) add(one.agreed[i]);
    }
    for (const auto& r : m.rounds_) {
      add(r.target), add(r.number), add(r.sent_at), add(r.asked), add(r.answered), add(r.nacks);
      add(r.expected), add(r.for_other), add(r.of), add(r.of_round);
    }
    for (const auto& s : m.sayings_) word(s.word), add(s.told);
    add('|');
  }
  static void append(const Packet& p, std::string& to) {
    const auto add = [&](auto value) { to.append(reinterpret_cast<const char*>(&value), sizeof value); };
    add(p.to), add(p.what.from), add(p.what.kind), add(p.what.about), add(p.what.round);
    stamp(p.what.stamp, to);
    for (const Word& w : p.what.words) add(w.who), add(w.standing), add(w.by), stamp(w.stamp, to);
    add('|');
  }
  static void stamp(Stamp s, std::string& to) {
    to.append(reinterpret_cast<const char*>(&s.incarnation), sizeof s.incarnation);
    to.append(reinterpret_cast<const char*>(&s.sequence), sizeof s.sequence);
  }
  static Stamp known(const Membership& m, Id of) { return m.all_[of].stamp; }
  static double direct_at(const Membership& m, Id of) { return m.all_[of].direct_at; }
};

namespace {

constexpr Id kThree = 3, kCrashes = 2;

struct World {
  std::vector<Membership> all;
  std::vector<Packet> under_way;
  bool crashed = false;
  int losses = 0, rounds = 0; // remaining
  double now = 1000;
};

bool is_lie(const Packet& p) { return p.what.kind == Kind::Nack && p.what.words.size() == 1; }

struct Model {
  std::unordered_set<std::size_t> seen;
  std::size_t went_back = 0, beyond = 0, by_older = 0, in_spite = 0, counted_out = 0, living_out = 0;

  void check(const World& before, const World& after) {
    for (Id i = 0; i < kThree; ++i) {
      went_back += after.all[i].stamp() < before.all[i].stamp();
      for (Id j = 0; j < kThree; ++j) {
        if (i == j) continue;
        beyond += Inside::known(after.all[i], j) > after.all[j].stamp();
        const bool out = before.all[i].alive(j) && !after.all[i].alive(j);
        counted_out += out, living_out += out && !(after.crashed && j == kCrashes);
      }
    }
  }
  void deliver(World w, std::size_t which) {
    const World before = w;
    const Packet p = w.under_way[which];
    w.under_way.erase(w.under_way.begin() + static_cast<std::ptrdiff_t>(which));
    if (!(w.crashed && p.to == kCrashes)) w.all[p.to].take(w.now, p.what.from, p.what, w.under_way);
    check(before, w);
    for (Id j = 0; j < kThree; ++j) {
      const Membership &then = before.all[p.to], &now = w.all[p.to];
      if (j == p.to || !then.alive(j) || now.alive(j)) continue;
      // Declared dead by this datagram: must not be due to updates older than the known stamp, nor right
      // after direct contact.
      by_older += std::none_of(p.what.words.begin(), p.what.words.end(), [&](const Word& word) {
        return word.who == j && word.stamp >= Inside::known(then, j);
      });
      in_spite += w.now - Inside::direct_at(then, j) < 2 * Rules{}.period_ms;
    }
    play(std::move(w));
  }
  void play(World w) {
    std::vector<std::string> told;
    for (const Packet& p : w.under_way) Inside::append(p, told.emplace_back());
    std::sort(told.begin(), told.end());
    std::string state(1, static_cast<char>(2 * w.losses + w.crashed));
    state += static_cast<char>(w.rounds);
    for (const Membership& m : w.all) Inside::append(m, state);
    for (const std::string& t : told) state += t;
    if (!seen.insert(std::hash<std::string>{}(state)).second) return;
    if (!w.crashed) {
      World next = w;
      next.crashed = true;
      play(std::move(next));
    }
    if (std::all_of(w.under_way.begin(), w.under_way.end(), is_lie)) {
      if (w.rounds == 0 && w.under_way.empty()) return;
      if (w.rounds > 0) {
        const World before = w;
        --w.rounds;
        w.now += Rules{}.period_ms;
        for (Id i = 0; i < kThree; ++i) {
          if (!(w.crashed && i == kCrashes)) w.all[i].tick(w.now, w.under_way);
        }
        check(before, w);
        play(std::move(w));
        w = before;
      }
    }
    for (std::size_t i = 0; i < w.under_way.size(); ++i) {
      deliver(w, i);
      if (w.losses == 0) continue;
      World lost = w;
      --lost.losses;
      lost.under_way.erase(lost.under_way.begin() + static_cast<std::ptrdiff_t>(i));
      play(std::move(lost));
    }
  }
};

} // namespace
} // namespace fernward::membership

TEST_CASE(
    "three routers reach no invalid state under any order and loss of datagrams with false updates and a "
    "crash") {
  using namespace fernward::membership;
  Model model;
  const auto play = [&](int lies, std::uint16_t lie, bool crashed, int rounds, int losses) {
    World w;
    for (Id i = 0; i < kThree; ++i) w.all.emplace_back(i, kThree, 1u, Rules{400, 1}, i + 1u);
    const auto tell = [&](Id from, Id to, std::vector<Word> words, std::vector<Packet>& out) {
      Packet p{to, {}};
      p.what.kind = Kind::Nack;
      p.what.from = from;
      p.what.stamp = w.all[from].stamp();
      p.what.words = std::move(words);
      out.push_back(std::move(p));
    };
    // The second router was suspected twice, refuted both suspicions, and both others received that.
    std::vector<Packet> before, none;
    for (std::uint16_t n = 0; n < 2; ++n) {
      tell(0, 1, {{1, Standing::Suspect, {1, n}, 0}}, before);
      w.all[1].take(0, 0, before.back().what, none);
    }
    for (const Id to : {Id{0}, Id{2}}) {
      tell(1, to, {}, before);
      w.all[to].take(0, 1, before.back().what, none);
    }
    // False updates that declare it dead arrive at any time: the first makes it suspect, the next could
    // declare it dead.
    for (int n = 0; n < lies; ++n) tell(kCrashes, 0, {{1, Standing::Dead, {1, lie}, kCrashes}}, w.under_way);
    if (lies > 0) tell(kCrashes, 1, {{1, Standing::Suspect, {1, 0}, kCrashes}}, w.under_way);
    w.now = 10 * Rules{}.period_ms;
    w.crashed = crashed, w.rounds = rounds, w.losses = losses;
    model.living_out = 0;
    model.play(w);
    MESSAGE(lies << " false updates of stamp " << lie << ", crashed " << crashed << ", rounds " << rounds
                 << ", losses " << losses << ": " << model.seen.size()
                 << " states so far, a router declared dead in " << model.counted_out << " steps");
    return model.living_out;
  };
  CHECK(play(2, 0, false, 2, 0) == 0); // with a crash at any point
  CHECK(play(2, 0, true, 2, 1) == 0);
  CHECK(play(2, 0, true, 3, 0) == 0);
  CHECK(play(2, 2, true, 2, 0) > 0); // possible, as nobody had recent direct contact
  CHECK(model.went_back == 0);
  CHECK(model.beyond == 0);
  CHECK(model.by_older == 0);
  CHECK(model.in_spite == 0);
  CHECK(model.counted_out > 0);
}
