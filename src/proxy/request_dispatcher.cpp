#include "proxy/request_dispatcher.h"

#include <algorithm>

#include "body_buffers/response_buffering.h"
#include "log/log.h"

namespace fernward::proxy {

using fernward::AttemptResult;

namespace {

constexpr std::size_t kBurst = 4; // events at once; in an even flow there are one to three

} // namespace

RequestDispatcher::RequestDispatcher(event_base* base, loop::TimerQueue& deadlines,
                                     fernward::Balancer balancer, const fernward::Settings& settings,
                                     body_buffers::BufferBudget& bytes,
                                     const RequestDispatcherOptions& options)
    : timers_(deadlines),
      balancer_(std::move(balancer)),
      settings_(settings),
      buffer_budget_(bytes),
      options_(options),
      requests_(options.max_requests),
      events_ready_(event_new(base, -1, 0, &RequestDispatcher::on_events_ready, this)) {
  if (events_ready_ == nullptr) throw std::bad_alloc();
}

// ---- what happens ----

Handle RequestDispatcher::open_request(Handle client, ClientRequest call) {
  const Handle id = requests_.add();
  if (id == 0) return 0;
  ActiveRequest& x = *requests_.find(id);
  x.client = client;
  x.request = std::make_shared<const ClientRequest>(std::move(call));
  const double now =
      loop::now_ms() + x.request->body_timeout_ms; // the client's time counts from its last byte on
  x.deadline = now + x.request->timeout_ms;
  x.objective_at = x.deadline;
  if (x.request->class_index < settings_.classes.size()) {
    const fernward::ClassSettings& rules = settings_.classes[x.request->class_index];
    if (rules.latency_objective_ms > 0)
      x.objective_at = std::min(x.deadline, now + rules.latency_objective_ms +
                                                rules.objective_per_work * x.request->expected_work_ms);
  }
  // The last guard: the module answers earlier. Half the grace is left for the way back.
  x.deadline_timer = timers_.at(x.deadline + options_.grace_ms / 2, [this, id] { on_deadline(id); });
  ++unanswered_requests_;
  waiting_ids_.insert(x.request->id);
  fernward::Request request;
  request.id = id;
  request.class_index = x.request->class_index;
  request.tenant = x.request->tenant;
  request.key = x.request->key;
  request.deadline = x.deadline;
  request.expected_work_ms = x.request->expected_work_ms;
  request.write = x.request->write;
  if (x.request->body_timeout_ms > 0) request.body_complete_at = now;
  enqueue(request);
  return id;
}

void RequestDispatcher::body_complete(Handle exchange) {
  ActiveRequest* x = requests_.find(exchange);
  if (x == nullptr || x->finished || x->streaming_attempt != 0) return;
  const double late = loop::now_ms() + x->request->timeout_ms - x->deadline; // than it looked when it began
  x->deadline += late;
  x->objective_at += late;
  timers_.cancel(x->deadline_timer);
  double guard_at = x->deadline + options_.grace_ms / 2;
  if (answer_all_by_ > 0) guard_at = std::min(guard_at, answer_all_by_);
  x->deadline_timer = timers_.at(guard_at, [this, exchange] { on_deadline(exchange); });
  for (const Handle attempt : x->attempts) {
    if (Attempt* a = attempts_.find(attempt)) set_attempt_deadline(*a, attempt, a->deadline + late);
  }
}

void RequestDispatcher::set_attempt_deadline(Attempt& a, Handle attempt, double deadline) {
  timers_.cancel(a.timeout);
  a.deadline = deadline;
  a.timeout = timers_.at(deadline, [this, attempt] { cancel_attempt(attempt, AttemptResult::TimedOut); });
}

void RequestDispatcher::client_disconnected(Handle exchange) {
  const ActiveRequest* x = requests_.find(exchange);
  if (x == nullptr || x->finished) return;
  finish(exchange, nullptr);
  enqueue(fernward::ClientDisconnected{exchange});
  remove_if_done(exchange);
}

void RequestDispatcher::on_attempt_complete(Handle attempt, AttemptCompletion ending) {
  complete_attempt(attempt, std::move(ending));
}

// ---- an answer that passes through ----

double RequestDispatcher::buffer_until(Handle attempt) {
  const Attempt* a = attempts_.find(attempt);
  const ActiveRequest* x = a == nullptr ? nullptr : requests_.find(a->request);
  return x == nullptr ? 0 : body_buffers::buffer_until(a->sent_at, x->objective_at);
}

bool RequestDispatcher::may_write_request(Handle attempt) {
  const Attempt* a = attempts_.find(attempt);
  const ActiveRequest* x = a == nullptr ? nullptr : requests_.find(a->request);
  const double now = loop::now_ms();
  return x != nullptr && now < a->deadline && downstream_->is_connected(x->client) && may_send(*x, now, true);
}

bool RequestDispatcher::start_response(Handle attempt, ResponseHead opening) {
  const Attempt* a = attempts_.find(attempt);
  ActiveRequest* x = a == nullptr ? nullptr : requests_.find(a->request);
  // Of two copies the first to begin is the answer: the module cuts off the other.
  if (x == nullptr || x->finished || x->streaming_attempt != 0) return false;
  if (!downstream_->start_response(x->client, std::move(opening))) return false;
  x->streaming_attempt = attempt;
  // Its first bytes were in time. From here on the node's and the client's pace counts, which both sides watch.
  timers_.cancel(x->deadline_timer);
  timers_.cancel(attempts_.find(attempt)->timeout);
  enqueue(fernward::ResponseStarted{a->request, a->number, a->server, loop::now_ms() - a->sent_at});
  return true;
}

Handle RequestDispatcher::client_of_streaming(Handle attempt) {
  const Attempt* a = attempts_.find(attempt);
  const ActiveRequest* x = a == nullptr ? nullptr : requests_.find(a->request);
  return x == nullptr || x->finished || x->streaming_attempt != attempt ? 0 : x->client;
}

std::size_t RequestDispatcher::writable_bytes(Handle attempt) {
  return downstream_->writable_bytes(client_of_streaming(attempt));
}

void RequestDispatcher::write(Handle attempt, std::string_view bytes, loop::IoBuffer& block) {
  downstream_->write(client_of_streaming(attempt), bytes, block);
}

bool RequestDispatcher::splice_from(Handle attempt, int socket, std::size_t most, loop::IoBuffer& block,
                                    loop::Received& received, std::size_t& bytes) {
  return downstream_->splice_from(client_of_streaming(attempt), socket, most, block, received, bytes);
}

void RequestDispatcher::response_drained(Handle exchange) {
  resume_reading(exchange);
  resume_blocked_readers();
}

void RequestDispatcher::resume_reading(Handle exchange) {
  if (const ActiveRequest* x = requests_.find(exchange); x != nullptr && x->streaming_attempt != 0)
    upstream_->resume_reading(x->streaming_attempt);
}

// Those that found no room at all, and have nothing of their own that could drain.
void RequestDispatcher::resume_blocked_readers() {
  while (const auto exchange = buffer_budget_.next_resumable()) resume_reading(*exchange);
}

// Its first byte is out: what the module decided in the same moment comes too late.
bool RequestDispatcher::is_streaming(const ActiveRequest& x, std::size_t number) const {
  return !x.finished && x.streaming_attempt != 0 && x.attempts[number] == x.streaming_attempt;
}

void RequestDispatcher::answer_all_by(double by) {
  answer_all_by_ = by;
  requests_.each([&](Handle id, ActiveRequest& x) {
    if (x.finished || x.streaming_attempt != 0 || x.deadline + options_.grace_ms / 2 <= by) return;
    timers_.cancel(x.deadline_timer);
    x.deadline_timer = timers_.at(by, [this, id] { on_deadline(id); });
  });
}

void RequestDispatcher::on_fleet_events(std::vector<fernward::Event> events) {
  for (auto& event : events) enqueue(std::move(event));
}

void RequestDispatcher::update_endpoints(fernward::EndpointList list) { enqueue(std::move(list)); }

void RequestDispatcher::update_settings(const fernward::Settings& settings) {
  balancer_.update_settings(settings);
  settings_ = settings;
}

void RequestDispatcher::on_deadline(Handle exchange) {
  ActiveRequest* x = requests_.find(exchange);
  if (x == nullptr || x->finished) return;
  x->deadline_timer = 0;
  // Of a body that came sooner than it might have, the module does not know.
  if (x->request->body_timeout_ms == 0 && loop::now_ms() >= x->deadline)
    log::line("exchange-overdue", {{"id", x->request->id}, {"attempts", x->attempts.size()}});
  ClientResponse answer; // failed
  finish(exchange, &answer);
  enqueue(fernward::ClientDisconnected{exchange});
  remove_if_done(exchange);
}

// ---- the module ----

void RequestDispatcher::enqueue(fernward::Event event) {
  events_.push_back(std::move(event));
  event_active(events_ready_.get(), EV_TIMEOUT, 0);
}

void RequestDispatcher::process_events() {
  poll_discovery(events_.size() >= kBurst);
  while (!events_.empty()) {
    const fernward::Event event = std::move(events_.front());
    events_.pop_front();
    actions_.clear();
    balancer_.on_event(loop::now_ms(), event, actions_);
    for (const fernward::Action& action : actions_) execute(action);
    poll_discovery(false);
  }
}

void RequestDispatcher::poll_discovery(bool burst) {
  const double now = loop::now_ms();
  if (!discovery_poll_ || (!burst && now - discovery_polled_at_ < options_.discovery_poll_interval_ms))
    return;
  discovery_poll_();
  discovery_polled_at_ = loop::now_ms();
}

void RequestDispatcher::execute(const fernward::Action& action) {
  if (const auto* a = std::get_if<fernward::Send>(&action)) {
    start_attempt(*a);
  } else if (const auto* refuse = std::get_if<fernward::Reject>(&action)) {
    ClientResponse answer;
    answer.kind = ClientResponse::Kind::Rejected;
    answer.retry_after_ms = refuse->retry_after_ms;
    give_up(refuse->id, refuse->reason, std::move(answer));
  } else if (const auto* fail = std::get_if<fernward::Fail>(&action)) {
    give_up(fail->id, fail->reason, ClientResponse());
  } else if (const auto* cancel = std::get_if<fernward::Cancel>(&action)) {
    const ActiveRequest* x = requests_.find(cancel->id);
    if (x != nullptr && cancel->attempt < x->attempts.size() && !is_streaming(*x, cancel->attempt)) {
      cancel_attempt(x->attempts[cancel->attempt], AttemptResult::Cancelled);
    }
  } else if (const auto* timer = std::get_if<fernward::SetTimer>(&action)) {
    const std::uint64_t token = timer->token;
    timers_.at(loop::now_ms() + timer->delay_ms, [this, token] { enqueue(fernward::TimerFired{token}); });
  } else if (const auto* said = std::get_if<fernward::Log>(&action)) {
    log::line("module", {{"says", said->text}});
  } else if (std::get_if<fernward::WatchEndpoints>(&action) != nullptr) {
    // The route table is always watched: the call is answered at once, with no changes.
    enqueue(fernward::EndpointList{fernward::EndpointListKind::Delta, {}});
  } else if (const auto* probe = std::get_if<fernward::SendHealthCheck>(&action)) {
    enqueue(fernward::HealthCheckResult{probe->server, 0, false, {}}); // the program sends none
  }
}

void RequestDispatcher::give_up(Handle exchange, fernward::GiveUpReason why, ClientResponse answer) {
  const ActiveRequest* x = requests_.find(exchange);
  if (x == nullptr || x->streaming_attempt != 0) return;
  ++give_up_counts_[static_cast<std::size_t>(why)];
  finish(exchange, &answer);
  remove_if_done(exchange);
}

void RequestDispatcher::start_attempt(const fernward::Send& send) {
  ActiveRequest* x = requests_.find(send.id);
  if (x == nullptr) return;
  const double now = loop::now_ms();
  const auto number = static_cast<std::uint32_t>(x->attempts.size());
  const double deadline = send.timeout_ms == 0 ? x->deadline : std::min(x->deadline, now + send.timeout_ms);
  Handle handle = 0;
  AttemptResult result = AttemptResult::Abandoned;
  if (!x->finished &&
      !downstream_->is_connected(x->client)) { // told here before its connection's end is read
    x->attempts.push_back(0);
    client_disconnected(send.id);
    return report_outcome(send.id, number, send.server, 0, result);
  }
  const bool open = number < settings_.max_attempts_of(x->request->class_index) && now < deadline;
  if (open && may_send(*x, now, false)) handle = attempts_.add();
  ++x->attempts_in_flight;
  x->attempts.push_back(handle);
  if (handle != 0) {
    Attempt& a = *attempts_.find(handle);
    a.request = send.id;
    a.number = number;
    a.server = send.server;
    a.sent_at = now;
    const auto start = upstream_->start(handle, send.server, x->request, deadline);
    if (start == UpstreamConnections::StartResult::Started) {
      if (x->attempts_in_flight == 1 && !x->may_have_run) x->first_sent_at = now;
      ++x->attempts_started;
      return set_attempt_deadline(a, handle, deadline);
    }
    if (start == UpstreamConnections::StartResult::NoEndpoint) result = AttemptResult::ConnectFailed;
    if (start == UpstreamConnections::StartResult::LocalLimit) log::line("egress-table-full");
    x->attempts.back() = 0;
    attempts_.remove(handle);
  }
  --x->attempts_in_flight;
  report_outcome(send.id, number, send.server, 0, result);
}

// The last word on an attempt, as it is decided and again as its first byte is written: its request waits, and the class
// and what is left of the body allow it. The module knows the class and asks for none past it.
bool RequestDispatcher::may_send(const ActiveRequest& x, double now, bool begun) const {
  if (x.finished || x.streaming_attempt != 0 || x.request->class_index >= settings_.classes.size())
    return false;
  const fernward::ClassSettings& rules = settings_.classes[x.request->class_index];
  const body_buffers::BodyAvailability body = x.request->streamed_body == nullptr
                                                  ? body_buffers::BodyAvailability()
                                                  : x.request->streamed_body->availability();
  const body_buffers::AttemptHistory past{x.attempts_started - begun,
                                          x.attempts_in_flight > std::size_t{begun}, x.may_have_run,
                                          now - x.first_sent_at};
  const bool may = body_buffers::may_send(body, rules.idempotency, rules.idempotency_window_ms, past);
  if (!may && body.retry_if_run)
    log::line("resend-held-back", {{"id", x.request->id}, {"attempts", x.attempts_started}});
  return may;
}

// Stops waiting for an attempt; its connection is closed, as an answer is still due on it.
void RequestDispatcher::cancel_attempt(Handle attempt, AttemptResult result) {
  if (attempts_.find(attempt) == nullptr) return;
  const UpstreamConnections::ClientPause pause = upstream_->cancel(attempt);
  AttemptCompletion ending;
  // Where the time ran out on a client that takes nothing, its target is not at fault.
  ending.result = result == AttemptResult::TimedOut && pause.ongoing ? AttemptResult::Cancelled : result;
  ending.paused_ms = pause.ms;
  complete_attempt(attempt, std::move(ending));
}

void RequestDispatcher::complete_attempt(Handle attempt, AttemptCompletion ending) {
  Attempt* found = attempts_.find(attempt);
  if (found == nullptr) return;
  Attempt a = *found;
  timers_.cancel(a.timeout);
  attempts_.remove(attempt);
  ActiveRequest* x = requests_.find(a.request);
  if (x == nullptr) return;
  x->attempts[a.number] = 0;
  --x->attempts_in_flight;
  const bool never_ran =
      ending.result == AttemptResult::Overloaded || ending.result == AttemptResult::ConnectFailed ||
      ending.result == AttemptResult::Abandoned || ending.result == AttemptResult::CacheMiss;
  x->may_have_run |= !never_ran;
  if (x->streaming_attempt == attempt) {
    finish(a.request, nullptr, ending.result == AttemptResult::Ok);
  } else if (ending.result == AttemptResult::Ok && x->streaming_attempt == 0 && !x->finished) {
    ClientResponse answer;
    answer.kind = ClientResponse::Kind::Served;
    answer.body = std::move(ending.body);
    answer.content_type = std::move(ending.content_type);
    finish(a.request, &answer);
  }
  // What the client's slowness took is no sign of the target's.
  const double elapsed = std::max(0.0, loop::now_ms() - a.sent_at - ending.paused_ms);
  report_outcome(a.request, a.number, a.server, elapsed, ending.result, std::move(ending.load_report),
                 ending.on_reused_connection, ending.first_on_connection);
  remove_if_done(a.request);
}

void RequestDispatcher::report_outcome(Handle exchange, std::uint32_t number, fernward::ServerId target,
                                       double elapsed, AttemptResult result, std::vector<float> report,
                                       bool rested, bool first) {
  const ActiveRequest* x = requests_.find(exchange);
  fernward::AttemptOutcome told;
  told.id = exchange;
  told.attempt = number;
  told.server = target;
  told.result = result;
  told.elapsed_ms = elapsed;
  told.request_ended = x == nullptr || x->finished;
  if (x != nullptr && x->request->streamed_body != nullptr) {
    const body_buffers::BodyAvailability body = x->request->streamed_body->availability();
    told.body_consumed = x->may_have_run ? !body.retry_if_run : !body.retry_if_not_run;
  }
  told.load_report = std::move(report);
  told.on_reused_connection = rested;
  told.first_on_connection = first;
  enqueue(std::move(told));
}

// The exchange has its final answer: this one, or one that passed through and has come to its end, whole or not; or
// nobody waits for one. Attempts may go on.
void RequestDispatcher::finish(Handle exchange, ClientResponse* answer, bool whole) {
  ActiveRequest* x = requests_.find(exchange);
  if (x == nullptr || x->finished) return;
  x->finished = true;
  --unanswered_requests_;
  waiting_ids_.erase(x->request->id);
  timers_.cancel(x->deadline_timer);
  if (x->streaming_attempt != 0) {
    downstream_->end_response(x->client, whole);
  } else if (answer != nullptr) {
    downstream_->send_response(x->client, std::move(*answer));
  }
  resume_blocked_readers();
}

void RequestDispatcher::remove_if_done(Handle exchange) {
  const ActiveRequest* x = requests_.find(exchange);
  if (x != nullptr && x->finished && x->attempts_in_flight == 0) requests_.remove(exchange);
}

} // namespace fernward::proxy
