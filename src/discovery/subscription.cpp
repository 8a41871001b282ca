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
constexpr double kMinTimeoutShare = 0.8;
// A call may take this much longer in total than its silence timeout, however often bytes arrive.
constexpr double kMaxReceiveMs = 1000;

// The platform's bounds on how late a change may be received: 6 s after discovery has it and is reachable,
// 4 s after a reload names another address; 250 ms of each are reserved for requests in flight. Each bound
// holds over three calls in a row that are never answered, the first a long poll: the fourth call is sent by
// then, and discovery answers it at once. If nothing has been answered for long, it holds over the call that
// is open at that time and one more, whatever their outcome.
constexpr SubscriptionSettings kDefaults;
constexpr double kThreeTimeoutsMs = (1 + 2 + 4) * kDefaults.silence_timeout_ms;
static_assert(kDefaults.long_poll_ms + kThreeTimeoutsMs < 6000 - 250);
static_assert(kThreeTimeoutsMs < 4000 - 250);
static_assert(2 * (kDefaults.max_silence_timeout_ms + kMaxReceiveMs) < 6000 - 250);

// True for the 4th, the 16th and so on of overdue calls in a row: after some 5, 27 and 110 s.
bool is_complete_list_due(std::uint32_t overdue_calls) {
  const bool is_power_of_two = std::has_single_bit(overdue_calls);
  return is_power_of_two && overdue_calls > 1 && std::countr_zero(overdue_calls) % 2 == 0;
}

} // namespace

Subscription::Subscription(const SubscriptionSettings& settings, std::uint64_t seed,
                           std::optional<ListIndex> known_index)
    : settings_(settings),
      random_(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32))),
      known_index_(known_index) {}

double Subscription::jittered(double duration_ms, double min_share) {
  return duration_ms * std::uniform_real_distribution<double>(min_share, 1)(random_);
}

Subscription::Call* Subscription::find(CallId id) {
  const auto it =
      std::find_if(calls_.begin(), calls_.end(), [id](const Call& call) { return call.id == id; });
  return it == calls_.end() ? nullptr : &*it;
}

ListIndex Subscription::min_index(CallId id) {
  const Call* call = find(id);
  return call != nullptr && call->since ? *call->since : last_answered_index_;
}

void Subscription::erase(CallId id) {
  std::erase_if(calls_, [id](const Call& call) { return call.id == id; });
}

bool Subscription::all_overdue(double now) const {
  return std::all_of(calls_.begin(), calls_.end(),
                     [now](const Call& call) { return call.overdue_at <= now; });
}

void Subscription::open_connection(double now, Actions& actions) {
  Call call;
  call.id = ++last_call_id_;
  const double timeout_ms =
      settings_.silence_timeout_ms * static_cast<double>(1u << std::min(overdue_calls_, 16u));
  call.silence_timeout_ms =
      jittered(std::min(timeout_ms, settings_.max_silence_timeout_ms), kMinTimeoutShare);
  call.opened_at = now;
  call.overdue_at = now + call.silence_timeout_ms;
  call.answer_deadline = call.overdue_at + kMaxReceiveMs;
  calls_.push_back(call);
  actions.push_back(OpenConnection{call.id});
}

// Calls usually ask for changes, which cost discovery little. The complete list is requested if no version is
// known, and if this discovery answers but has not sent a complete list yet. Otherwise discovery may have
// lost the version that a call for changes starts from: the complete list is requested after such a call
// failed, and occasionally beside an overdue one, rarely enough not to worsen an overload.
bool Subscription::needs_complete_list(const Call& call) const {
  if (!known_index_ || needs_complete_list_) return true;
  if (failures() == 0) return !received_complete_list_;
  if (failures() == 1) return false;
  if (changes_failed_) return true;
  const bool changes_pending = std::any_of(calls_.begin(), calls_.end(), [&](const Call& other) {
    return other.id != call.id && polls_for_changes(other);
  });
  return changes_pending && is_complete_list_due(overdue_calls_);
}

void Subscription::poll(double now, Call& call, Actions& actions) {
  const bool complete_list = needs_complete_list(call);
  call.since = complete_list ? std::nullopt : known_index_;
  if (complete_list) changes_failed_ = false;
  call.wait_ms = failures() > 0 ? kNoWaitMs : settings_.long_poll_ms;
  if (complete_list) call.wait_ms = 0;
  // The connect time counts towards the deadline of the first poll on a connection.
  const bool first_on_connection = call.polled_at == 0;
  call.polled_at = now;
  call.next_poll_at = 0;
  const double silence_ends_at = now + call.wait_ms + call.silence_timeout_ms;
  call.answer_deadline =
      first_on_connection ? call.answer_deadline + call.wait_ms : silence_ends_at + kMaxReceiveMs;
  call.overdue_at = std::min(silence_ends_at, call.answer_deadline);
  actions.push_back(Poll{call.id, call.since, call.wait_ms});
}

void Subscription::on_connected(double now, CallId id, Actions& actions) {
  if (Call* call = find(id)) poll(now, *call, actions);
}

void Subscription::on_data_received(double now, CallId id) {
  Call* call = find(id);
  if (call == nullptr || call->polled_at == 0 || call->next_poll_at > 0) return;
  call->overdue_at = std::min(now + call->silence_timeout_ms, call->answer_deadline);
}

void Subscription::close_others(CallId kept, Actions& actions) {
  for (const Call& call : calls_) {
    if (call.id != kept) actions.push_back(CloseConnection{call.id});
  }
  std::erase_if(calls_, [kept](const Call& call) { return call.id != kept; });
}

// Paces the polls of a discovery that returns empty answers without waiting.
double Subscription::empty_answer_pause_ms(double now, const Call& call, const Answer& answer) {
  const bool waited = call.wait_ms <= kNoWaitMs || now - call.polled_at >= call.wait_ms / 2;
  if (!call.since || *call.since != answer.index || waited) {
    consecutive_empty_answers_ = 0;
    return 0;
  }
  const double pause_ms = settings_.min_empty_answer_pause_ms *
                          static_cast<double>(1u << std::min(consecutive_empty_answers_, 16u));
  ++consecutive_empty_answers_;
  return std::min(pause_ms, settings_.max_empty_answer_pause_ms);
}

void Subscription::on_answered(double now, CallId id, const Answer& answer, bool reusable, Actions& actions) {
  Call* call = find(id);
  if (call == nullptr) return;
  const double pause_ms = empty_answer_pause_ms(now, *call, answer);
  known_index_ = answer.index;
  last_answered_index_ = answer.index;
  received_complete_list_ |= answer.complete;
  needs_complete_list_ = false;
  failures_ = 0;
  overdue_calls_ = 0;
  reconnect_pause_ms_ = 0;
  reopen_at_ = now + pause_ms;
  close_others(id, actions);
  if (!reusable) {
    actions.push_back(CloseConnection{id});
    erase(id);
    return tick(now, actions);
  }
  call = &calls_.front();
  call->silence_timeout_ms = settings_.silence_timeout_ms;
  if (pause_ms == 0) return poll(now, *call, actions);
  call->next_poll_at = now + pause_ms;
  call->overdue_at = kNever;
}

void Subscription::on_failed(double now, CallId id, Failure failure, Actions& actions) {
  const Call* call = find(id);
  if (call == nullptr) return;
  changes_failed_ |= polls_for_changes(*call);
  erase(id);
  ++failures_;
  needs_complete_list_ |= failure == Failure::InvalidAnswer;
  const double max_pause_ms =
      failure == Failure::Disconnected ? settings_.max_reconnect_pause_ms : settings_.max_rejected_pause_ms;
  reconnect_pause_ms_ = std::clamp(2 * reconnect_pause_ms_, settings_.min_reconnect_pause_ms, max_pause_ms);
  reopen_at_ = now + jittered(reconnect_pause_ms_, kMinPauseShare);
  tick(now, actions);
}

void Subscription::refresh(double now, Actions& actions) {
  for (Call& call : calls_) call.overdue_at = std::min(call.overdue_at, now);
  reopen_at_ = now;
  const std::uint32_t previous_overdue_calls = overdue_calls_;
  tick(now, actions);
  overdue_calls_ = std::max(previous_overdue_calls, 1u); // repeated refreshes do not lengthen the timeout
}

void Subscription::tick(double now, Actions& actions) {
  for (Call& call : calls_) {
    if (call.next_poll_at > 0 && call.next_poll_at <= now) poll(now, call, actions);
  }
  if (!all_overdue(now) || now < reopen_at_) return;
  if (!calls_.empty()) ++overdue_calls_;
  if (calls_.size() > 1) close_one_of_two(now, actions);
  open_connection(now, actions);
}

// Keeps the call for changes: in an outage discovery holds it and answers it on recovery, while a call for
// the complete list made during the outage is never answered. Of two calls of one kind the older one is kept,
// as it is closer to its answer if calls are queued, unless it has waited for `abandon_after_ms`.
void Subscription::close_one_of_two(double now, Actions& actions) {
  const Call& oldest = calls_.front();
  const bool waited_long = now - std::max(oldest.opened_at, oldest.polled_at) >= settings_.abandon_after_ms;
  const bool close_oldest = waited_long || (polls_for_changes(calls_.back()) && !polls_for_changes(oldest));
  const CallId id = close_oldest ? calls_.front().id : calls_.back().id;
  actions.push_back(CloseConnection{id});
  erase(id);
}

double Subscription::next_tick_at() const {
  double due_at = calls_.empty() ? reopen_at_ : 0;
  for (const Call& call : calls_) due_at = std::max(due_at, call.overdue_at);
  due_at = std::max(due_at, reopen_at_);
  for (const Call& call : calls_) {
    if (call.next_poll_at > 0) due_at = std::min(due_at, call.next_poll_at);
  }
  return due_at;
}

} // namespace fernward::discovery
