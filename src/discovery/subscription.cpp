#include "discovery/subscription.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace fernward::discovery {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();
// A wait that discovery answers at once; 0 might be read as no wait given.
constexpr double kNoWaitMs = 1;
// Jitter of a pause: processes that lost their connections together reconnect spread out. Jitter of a
// timeout: the bounds below hold for the unreduced value.
constexpr double kMinPauseShare = 0.5;
constexpr double kMinPatienceShare = 0.8;
// A call may take this much longer in total than its silence timeout, however often bytes arrive.
constexpr double kMaxReceiveMs = 1000;

// The platform's bounds on how late a change may be received: 6 s after discovery has it and is reachable, 4
// s after a reload names another address; 250 ms of it are reserved for requests in flight. Each bound holds
// over three calls in a row that are never answered, the first a long poll: the fourth call is sent by then,
// and discovery answers it at once. If nothing has been answered for long, it holds over the call that is
// open at that time and one more, whatever their outcome.
constexpr SubscriptionRules kDefaults;
constexpr double kThreeSilentMs = (1 + 2 + 4) * kDefaults.patience_ms;
static_assert(kDefaults.poll_ms + kThreeSilentMs < 6000 - 250);
static_assert(kThreeSilentMs < 4000 - 250);
static_assert(2 * (kDefaults.max_patience_ms + kMaxReceiveMs) < 6000 - 250);

// True for the 4th, the 16th and so on of overdue calls in a row: after some 5, 27 and 110 s.
bool is_rare(std::uint32_t doubts) {
  const bool is_power_of_two = std::has_single_bit(doubts);
  return is_power_of_two && doubts > 1 && std::countr_zero(doubts) % 2 == 0;
}

} // namespace

Subscription::Subscription(const SubscriptionRules& rules, std::uint64_t seed, std::optional<ListIndex> known)
    : rules_(rules),
      random_(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32))),
      known_(known) {}

double Subscription::jittered(double ms, double min_share) {
  return ms * std::uniform_real_distribution<double>(min_share, 1)(random_);
}

Subscription::Call* Subscription::find(CallId id) {
  const auto it =
      std::find_if(calls_.begin(), calls_.end(), [id](const Call& call) { return call.id == id; });
  return it == calls_.end() ? nullptr : &*it;
}

ListIndex Subscription::at_least(CallId id) {
  const Call* call = find(id);
  return call != nullptr && call->since ? *call->since : last_index_;
}

void Subscription::erase(CallId id) {
  std::erase_if(calls_, [id](const Call& call) { return call.id == id; });
}

bool Subscription::all_in_doubt(double now) const {
  return std::all_of(calls_.begin(), calls_.end(), [now](const Call& call) { return call.doubt_at <= now; });
}

void Subscription::open(double now, Actions& actions) {
  Call call;
  call.id = ++last_call_;
  const double grown = rules_.patience_ms * static_cast<double>(1u << std::min(doubts_, 16u));
  call.patience_ms = jittered(std::min(grown, rules_.max_patience_ms), kMinPatienceShare);
  call.opened_at = now;
  call.doubt_at = now + call.patience_ms;
  call.limit_at = call.doubt_at + kMaxReceiveMs;
  calls_.push_back(call);
  actions.push_back(OpenConnection{call.id});
}

// Calls usually ask for changes, which cost discovery little. The complete list is requested if no version is
// known, and if this discovery answers but has not sent a complete list yet. Otherwise discovery may have
// lost the version that a call for changes starts from: the complete list is requested after such a call
// failed, and occasionally beside an overdue one, rarely enough not to worsen an overload.
bool Subscription::needs_full_list(const Call& call) const {
  if (!known_ || resync_) return true;
  if (failures() == 0) return !has_full_list_;
  if (failures() == 1) return false;
  if (changes_failed_) return true;
  const bool pending = std::any_of(calls_.begin(), calls_.end(), [&](const Call& other) {
    return other.id != call.id && asks_for_changes(other);
  });
  return pending && is_rare(doubts_);
}

void Subscription::ask(double now, Call& call, Actions& actions) {
  const bool full = needs_full_list(call);
  call.since = full ? std::nullopt : known_;
  if (full) changes_failed_ = false;
  call.wait_ms = failures() > 0 ? kNoWaitMs : rules_.poll_ms;
  if (full) call.wait_ms = 0;
  const bool first = call.asked_at == 0; // on its connection: the connect time counts towards the deadline
  call.asked_at = now;
  call.ask_at = 0;
  const double silent_until = now + call.wait_ms + call.patience_ms;
  call.limit_at = first ? call.limit_at + call.wait_ms : silent_until + kMaxReceiveMs;
  call.doubt_at = std::min(silent_until, call.limit_at);
  actions.push_back(Ask{call.id, call.since, call.wait_ms});
}

void Subscription::connected(double now, CallId id, Actions& actions) {
  if (Call* call = find(id)) ask(now, *call, actions);
}

void Subscription::progressed(double now, CallId id) {
  Call* call = find(id);
  if (call == nullptr || call->asked_at == 0 || call->ask_at > 0) return;
  call->doubt_at = std::min(now + call->patience_ms, call->limit_at);
}

void Subscription::close_others(CallId kept, Actions& actions) {
  for (const Call& call : calls_) {
    if (call.id != kept) actions.push_back(CloseConnection{call.id});
  }
  std::erase_if(calls_, [kept](const Call& call) { return call.id != kept; });
}

// Paces the polls of a discovery that returns empty answers without waiting.
double Subscription::pause_after_empty(double now, const Call& call, const Answer& answer) {
  const bool waited = call.wait_ms <= kNoWaitMs || now - call.asked_at >= call.wait_ms / 2;
  if (!call.since || *call.since != answer.index || waited) {
    empty_in_a_row_ = 0;
    return 0;
  }
  const double grown = rules_.min_empty_ms * static_cast<double>(1u << std::min(empty_in_a_row_, 16u));
  ++empty_in_a_row_;
  return std::min(grown, rules_.max_empty_ms);
}

void Subscription::answered(double now, CallId id, const Answer& answer, bool reusable, Actions& actions) {
  Call* call = find(id);
  if (call == nullptr) return;
  const double pause = pause_after_empty(now, *call, answer);
  known_ = answer.index;
  last_index_ = answer.index;
  has_full_list_ |= answer.complete;
  resync_ = false;
  failures_ = 0;
  doubts_ = 0;
  pause_ms_ = 0;
  reopen_at_ = now + pause;
  close_others(id, actions);
  if (!reusable) {
    actions.push_back(CloseConnection{id});
    erase(id);
    return tick(now, actions);
  }
  call = &calls_.front();
  call->patience_ms = rules_.patience_ms;
  if (pause == 0) return ask(now, *call, actions);
  call->ask_at = now + pause;
  call->doubt_at = kNever;
}

void Subscription::failed(double now, CallId id, Failure failure, Actions& actions) {
  const Call* call = find(id);
  if (call == nullptr) return;
  changes_failed_ |= asks_for_changes(*call);
  erase(id);
  ++failures_;
  resync_ |= failure == Failure::Useless;
  const double max_pause_ms =
      failure == Failure::Disconnected ? rules_.max_pause_ms : rules_.max_useless_pause_ms;
  pause_ms_ = std::clamp(2 * pause_ms_, rules_.first_pause_ms, max_pause_ms);
  reopen_at_ = now + jittered(pause_ms_, kMinPauseShare);
  tick(now, actions);
}

void Subscription::refresh(double now, Actions& actions) {
  for (Call& call : calls_) call.doubt_at = std::min(call.doubt_at, now);
  reopen_at_ = now;
  const std::uint32_t doubts = doubts_;
  tick(now, actions);
  doubts_ = std::max(doubts, 1u); // repeated refreshes do not lengthen the timeout
}

void Subscription::tick(double now, Actions& actions) {
  for (Call& call : calls_) {
    if (call.ask_at > 0 && call.ask_at <= now) ask(now, call, actions);
  }
  if (!all_in_doubt(now) || now < reopen_at_) return;
  if (!calls_.empty()) ++doubts_;
  if (calls_.size() > 1) close_one_of_two(now, actions);
  open(now, actions);
}

// Keeps the call for changes: in an outage discovery holds it and answers it on recovery, while a call for
// the complete list made during the outage is never answered. Of two calls of one kind the older one is kept,
// as it is closer to its answer if calls are queued, unless it has waited for `abandon_after_ms`.
void Subscription::close_one_of_two(double now, Actions& actions) {
  const Call& oldest = calls_.front();
  const bool waited_long = now - std::max(oldest.opened_at, oldest.asked_at) >= rules_.abandon_ms;
  const bool older = waited_long || (asks_for_changes(calls_.back()) && !asks_for_changes(oldest));
  const CallId id = older ? calls_.front().id : calls_.back().id;
  actions.push_back(CloseConnection{id});
  erase(id);
}

double Subscription::next() const {
  double next = calls_.empty() ? reopen_at_ : 0;
  for (const Call& call : calls_) next = std::max(next, call.doubt_at);
  next = std::max(next, reopen_at_);
  for (const Call& call : calls_) {
    if (call.ask_at > 0) next = std::min(next, call.ask_at);
  }
  return next;
}

} // namespace fernward::discovery
