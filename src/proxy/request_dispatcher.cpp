#include "proxy/request_dispatcher.h"

#include <algorithm>

#include "body_buffers/response_buffering.h"
#include "log/log.h"
#include "proxy/request_log.h"

namespace fernward::proxy {

using fernward::AttemptResult;

namespace {

constexpr std::size_t kBurstEvents = 4; // events pending at once; under steady load there are one to three
constexpr double kMinTimeoutMs = 1;     // of a request that arrives in the last moments of a shutdown

} // namespace

RequestDispatcher::RequestDispatcher(event_base* base, loop::TimerQueue& timers, fernward::Balancer balancer,
                                     const fernward::Settings& settings,
                                     body_buffers::BufferBudget& buffer_budget,
                                     const RequestDispatcherOptions& options)
    : timers_(timers),
      balancer_(std::move(balancer)),
      settings_(settings),
      buffer_budget_(buffer_budget),
      options_(options),
      requests_(options.max_requests),
      events_ready_(event_new(base, -1, 0, &RequestDispatcher::on_events_ready, this)) {
  if (events_ready_ == nullptr) throw std::bad_alloc();
}

// ---- requests ----

Handle RequestDispatcher::open_request(Handle client, ClientRequest request) {
  const Handle request_id = requests_.add();
  if (request_id == 0) return 0;
  ActiveRequest& active_request = *requests_.find(request_id);
  active_request.client = client;
  active_request.request = std::make_shared<const ClientRequest>(std::move(request));
  const double received_at_ms = active_request.request->received_at_ms;
  active_request.deadline = limit_to_shutdown(received_at_ms + active_request.request->timeout_ms);
  active_request.objective_at = active_request.deadline;
  if (active_request.request->class_index < settings_.classes.size()) {
    const fernward::ClassSettings& class_settings = settings_.classes[active_request.request->class_index];
    if (class_settings.latency_objective_ms > 0)
      active_request.objective_at =
          std::min(active_request.deadline,
                   received_at_ms + class_settings.latency_objective_ms +
                       class_settings.objective_work_factor * active_request.request->expected_work_ms);
  }
  // A fallback: normally the Balancer ends the request earlier. Half of the grace period is left for the
  // transmission to the client.
  active_request.deadline_timer = timers_.run_at(active_request.deadline + options_.grace_ms / 2,
                                                 [this, request_id] { on_deadline(request_id); });
  ++unanswered_requests_;
  active_ids_.insert(active_request.request->id);
  fernward::Request request_event;
  request_event.id = request_id;
  request_event.class_index = active_request.request->class_index;
  request_event.tenant = active_request.request->tenant;
  request_event.key = active_request.request->placement_key;
  request_event.deadline = active_request.deadline;
  request_event.expected_work_ms = active_request.request->expected_work_ms;
  request_event.write = active_request.request->is_write;
  if (active_request.request->body_arriving) request_event.body_complete_at = received_at_ms;
  enqueue(request_event);
  return request_id;
}

void RequestDispatcher::update_received_at(Handle request_id, double received_at_ms) {
  ActiveRequest* active_request = requests_.find(request_id);
  if (active_request == nullptr || active_request->finished || active_request->streaming_attempt != 0) return;
  // Positive if the body is complete later than assumed before, negative if sooner.
  const double extension_ms =
      limit_to_shutdown(received_at_ms + active_request->request->timeout_ms) - active_request->deadline;
  active_request->deadline += extension_ms;
  active_request->objective_at += extension_ms;
  timers_.cancel(active_request->deadline_timer);
  active_request->deadline_timer = timers_.run_at(active_request->deadline + options_.grace_ms / 2,
                                                  [this, request_id] { on_deadline(request_id); });
  for (const Handle attempt_id : active_request->attempts) {
    if (Attempt* attempt = attempts_.find(attempt_id))
      set_attempt_deadline(*attempt, attempt_id, attempt->deadline + extension_ms);
  }
  enqueue(fernward::DeadlineChanged{request_id, active_request->deadline, received_at_ms});
}

double RequestDispatcher::limit_to_shutdown(double deadline) const {
  if (respond_to_all_by_ == 0) return deadline;
  return std::min(deadline, std::max(respond_to_all_by_, loop::now_ms() + kMinTimeoutMs));
}

void RequestDispatcher::set_attempt_deadline(Attempt& attempt, Handle attempt_id, double deadline) {
  timers_.cancel(attempt.timeout);
  attempt.deadline = deadline;
  attempt.timeout =
      timers_.run_at(deadline, [this, attempt_id] { cancel_attempt(attempt_id, AttemptResult::TimedOut); });
}

void RequestDispatcher::client_disconnected(Handle request_id) {
  const ActiveRequest* active_request = requests_.find(request_id);
  if (active_request == nullptr || active_request->finished) return;
  finish(request_id, nullptr);
  enqueue(fernward::ClientDisconnected{request_id});
  remove_if_done(request_id);
}

void RequestDispatcher::on_attempt_complete(Handle attempt_id, AttemptCompletion completion) {
  complete_attempt(attempt_id, std::move(completion));
}

// ---- streamed responses ----

void RequestDispatcher::on_response_head(Handle attempt_id) {
  if (const Attempt* attempt = attempts_.find(attempt_id))
    enqueue(fernward::ResponseHeadReceived{attempt->request, attempt->number});
}

double RequestDispatcher::client_deadline(Handle attempt_id) {
  const Attempt* attempt = attempts_.find(attempt_id);
  const ActiveRequest* active_request = attempt == nullptr ? nullptr : requests_.find(attempt->request);
  return active_request == nullptr ? 0 : active_request->deadline;
}

double RequestDispatcher::buffer_until(Handle attempt_id) {
  const Attempt* attempt = attempts_.find(attempt_id);
  const ActiveRequest* active_request = attempt == nullptr ? nullptr : requests_.find(attempt->request);
  return active_request == nullptr
             ? 0
             : body_buffers::buffering_deadline(attempt->sent_at, active_request->objective_at);
}

bool RequestDispatcher::may_write_request(Handle attempt_id) {
  const Attempt* attempt = attempts_.find(attempt_id);
  const ActiveRequest* active_request = attempt == nullptr ? nullptr : requests_.find(attempt->request);
  const double now = loop::now_ms();
  return active_request != nullptr && now < attempt->deadline &&
         downstream_->is_connected(active_request->client) && may_send(*active_request, now, true);
}

bool RequestDispatcher::start_response(Handle attempt_id, ResponseHead head) {
  const Attempt* attempt = attempts_.find(attempt_id);
  ActiveRequest* active_request = attempt == nullptr ? nullptr : requests_.find(attempt->request);
  // Of two hedged attempts the first response to start is used; the Balancer cancels the other attempt.
  if (active_request == nullptr || active_request->finished || active_request->streaming_attempt != 0)
    return false;
  if (!downstream_->start_response(active_request->client, std::move(head))) return false;
  active_request->streaming_attempt = attempt_id;
  // The response may take longer than the client's timeout: upstream and downstream detect a stalled server
  // or client.
  timers_.cancel(active_request->deadline_timer);
  timers_.cancel(attempts_.find(attempt_id)->timeout);
  enqueue(fernward::ResponseStarted{attempt->request, attempt->number, attempt->server,
                                    loop::now_ms() - attempt->sent_at});
  return true;
}

Handle RequestDispatcher::client_of_streaming_attempt(Handle attempt_id) {
  const Attempt* attempt = attempts_.find(attempt_id);
  const ActiveRequest* active_request = attempt == nullptr ? nullptr : requests_.find(attempt->request);
  return active_request == nullptr || active_request->finished ||
                 active_request->streaming_attempt != attempt_id
             ? 0
             : active_request->client;
}

std::size_t RequestDispatcher::writable_bytes(Handle attempt_id) {
  return downstream_->writable_bytes(client_of_streaming_attempt(attempt_id));
}

void RequestDispatcher::write(Handle attempt_id, std::string_view bytes) {
  downstream_->write(client_of_streaming_attempt(attempt_id), bytes);
}

bool RequestDispatcher::splice_from(Handle attempt_id, int socket, std::size_t max_bytes,
                                    loop::IoBuffer& io_buffer, loop::ReceiveResult& received,
                                    std::size_t& bytes) {
  return downstream_->splice_from(client_of_streaming_attempt(attempt_id), socket, max_bytes, io_buffer,
                                  received, bytes);
}

void RequestDispatcher::response_drained(Handle request_id) {
  resume_reading(request_id);
  resume_responses_awaiting_budget();
}

void RequestDispatcher::resume_reading(Handle request_id) {
  if (const ActiveRequest* active_request = requests_.find(request_id);
      active_request != nullptr && active_request->streaming_attempt != 0)
    upstream_->resume_reading(active_request->streaming_attempt);
}

void RequestDispatcher::resume_responses_awaiting_budget() {
  while (const auto request_id = buffer_budget_.next_resumable()) resume_reading(*request_id);
}

// The response has started: a cancellation that the Balancer decided on at the same time comes too late.
bool RequestDispatcher::is_streaming(const ActiveRequest& active_request, std::size_t number) const {
  return !active_request.finished && active_request.streaming_attempt != 0 &&
         active_request.attempts[number] == active_request.streaming_attempt;
}

void RequestDispatcher::respond_to_all_by(double respond_by) {
  respond_to_all_by_ = respond_by;
  requests_.for_each([&](Handle id, ActiveRequest& active_request) {
    if (active_request.finished || active_request.streaming_attempt != 0 ||
        active_request.deadline + options_.grace_ms / 2 <= respond_by)
      return;
    timers_.cancel(active_request.deadline_timer);
    active_request.deadline_timer = timers_.run_at(respond_by, [this, id] { on_deadline(id); });
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

void RequestDispatcher::on_deadline(Handle request_id) {
  ActiveRequest* active_request = requests_.find(request_id);
  if (active_request == nullptr || active_request->finished) return;
  active_request->deadline_timer = 0;
  if (loop::now_ms() >= active_request->deadline)
    log::line("request-overdue",
              {{"id", active_request->request->id}, {"attempts", active_request->attempts.size()}});
  ClientResponse response; // failed
  finish(request_id, &response);
  enqueue(fernward::ClientDisconnected{request_id});
  remove_if_done(request_id);
}

// ---- events and actions ----

void RequestDispatcher::enqueue(fernward::Event event) {
  events_.push_back(std::move(event));
  event_active(events_ready_.get(), EV_TIMEOUT, 0);
}

void RequestDispatcher::process_events() {
  poll_discovery(events_.size() >= kBurstEvents);
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
  if (const auto* send = std::get_if<fernward::Send>(&action)) {
    start_attempt(*send);
  } else if (const auto* reject = std::get_if<fernward::Reject>(&action)) {
    ClientResponse response;
    response.kind = ClientResponse::Kind::Rejected;
    response.retry_after_ms = reject->retry_after_ms;
    give_up(reject->id, reject->reason, std::move(response));
  } else if (const auto* fail = std::get_if<fernward::Fail>(&action)) {
    give_up(fail->id, fail->reason, ClientResponse());
  } else if (const auto* cancel = std::get_if<fernward::Cancel>(&action)) {
    const ActiveRequest* active_request = requests_.find(cancel->id);
    if (active_request != nullptr && cancel->attempt < active_request->attempts.size() &&
        !is_streaming(*active_request, cancel->attempt)) {
      cancel_attempt(active_request->attempts[cancel->attempt], AttemptResult::Cancelled);
    }
  } else if (const auto* timer = std::get_if<fernward::SetTimer>(&action)) {
    const std::uint64_t token = timer->token;
    timers_.run_at(loop::now_ms() + timer->delay_ms, [this, token] { enqueue(fernward::TimerFired{token}); });
  } else if (const auto* log_message = std::get_if<fernward::Log>(&action)) {
    log::line("module", {{"says", log_message->text}});
  } else if (std::get_if<fernward::WatchEndpoints>(&action) != nullptr) {
    // The endpoint list is always watched: an empty delta confirms the watch at once.
    enqueue(fernward::EndpointList{fernward::EndpointListKind::Delta, {}});
  } else if (const auto* health_check = std::get_if<fernward::SendHealthCheck>(&action)) {
    enqueue(fernward::HealthCheckResult{health_check->server, 0, false, {}}); // never sent: fails
  }
}

void RequestDispatcher::give_up(Handle request_id, fernward::GiveUpReason reason, ClientResponse response) {
  const ActiveRequest* active_request = requests_.find(request_id);
  if (active_request == nullptr || active_request->streaming_attempt != 0) return;
  ++give_up_counts_[static_cast<std::size_t>(reason)];
  log_given_up(active_request->request->id, reason, active_request->attempts.size());
  finish(request_id, &response);
  remove_if_done(request_id);
}

void RequestDispatcher::start_attempt(const fernward::Send& send) {
  ActiveRequest* active_request = requests_.find(send.id);
  if (active_request == nullptr) return;
  const double now = loop::now_ms();
  const auto number = static_cast<std::uint32_t>(active_request->attempts.size());
  const double deadline = send.timeout_ms == 0 ? active_request->deadline
                                               : std::min(active_request->deadline, now + send.timeout_ms);
  Handle attempt_id = 0;
  AttemptResult result = AttemptResult::Abandoned;
  // The client has disconnected, but that event has not been processed yet.
  if (!active_request->finished && !downstream_->is_connected(active_request->client)) {
    active_request->attempts.push_back(0);
    client_disconnected(send.id);
    return report_outcome(send.id, number, send.server, 0, result);
  }
  const bool within_limits =
      number < settings_.max_attempts_for_class(active_request->request->class_index) && now < deadline;
  if (within_limits && may_send(*active_request, now, false)) attempt_id = attempts_.add();
  ++active_request->attempts_in_flight;
  active_request->attempts.push_back(attempt_id);
  if (attempt_id != 0) {
    Attempt& attempt = *attempts_.find(attempt_id);
    attempt.request = send.id;
    attempt.number = number;
    attempt.server = send.server;
    attempt.sent_at = now;
    const auto start_result = upstream_->start(attempt_id, send.server, active_request->request, deadline);
    if (start_result == UpstreamConnections::StartResult::Started) {
      if (active_request->attempts_in_flight == 1 && !active_request->may_have_run)
        active_request->first_sent_at = now;
      ++active_request->attempts_started;
      if (number > 0) log_retry(active_request->request->id, number, active_request->attempts_in_flight - 1);
      return set_attempt_deadline(attempt, attempt_id, deadline);
    }
    if (start_result == UpstreamConnections::StartResult::NoEndpoint) result = AttemptResult::ConnectFailed;
    if (start_result == UpstreamConnections::StartResult::LocalLimit) log::line("upstream-table-full");
    active_request->attempts.back() = 0;
    attempts_.remove(attempt_id);
  }
  --active_request->attempts_in_flight;
  report_outcome(send.id, number, send.server, 0, result);
}

// The final check of an attempt, when it starts and again when its first byte is written: the request still
// waits for a response, and its class, idempotency window and body permit the attempt
// (body_buffers::may_send). The Balancer has already checked the class.
bool RequestDispatcher::may_send(const ActiveRequest& active_request, double now,
                                 bool already_started) const {
  if (active_request.finished || active_request.streaming_attempt != 0 ||
      active_request.request->class_index >= settings_.classes.size())
    return false;
  const fernward::ClassSettings& class_settings = settings_.classes[active_request.request->class_index];
  const body_buffers::BodyAvailability body = active_request.request->streamed_body == nullptr
                                                  ? body_buffers::BodyAvailability()
                                                  : active_request.request->streamed_body->availability();
  const body_buffers::AttemptHistory history{active_request.attempts_started - already_started,
                                             active_request.attempts_in_flight > std::size_t{already_started},
                                             active_request.may_have_run, now - active_request.first_sent_at};
  const bool allowed =
      body_buffers::may_send(body, class_settings.idempotency, class_settings.idempotency_window_ms, history);
  if (!allowed && body.retry_if_executed)
    log::line("retry-not-allowed",
              {{"id", active_request.request->id}, {"attempts", active_request.attempts_started}});
  return allowed;
}

// The connection is closed, unless it is still connecting: then it is kept for the next attempt.
void RequestDispatcher::cancel_attempt(Handle attempt_id, AttemptResult result) {
  if (attempts_.find(attempt_id) == nullptr) return;
  const UpstreamConnections::ClientPause pause = upstream_->cancel(attempt_id);
  AttemptCompletion completion;
  // A timeout while waiting for the client is not attributed to the server.
  completion.result = result == AttemptResult::TimedOut && pause.ongoing ? AttemptResult::Cancelled : result;
  completion.paused_ms = pause.duration_ms;
  complete_attempt(attempt_id, std::move(completion));
}

void RequestDispatcher::complete_attempt(Handle attempt_id, AttemptCompletion completion) {
  Attempt* found = attempts_.find(attempt_id);
  if (found == nullptr) return;
  Attempt attempt = *found;
  timers_.cancel(attempt.timeout);
  attempts_.remove(attempt_id);
  ActiveRequest* active_request = requests_.find(attempt.request);
  if (active_request == nullptr) return;
  active_request->attempts[attempt.number] = 0;
  --active_request->attempts_in_flight;
  const bool never_ran =
      completion.result == AttemptResult::Overloaded || completion.result == AttemptResult::ConnectFailed ||
      completion.result == AttemptResult::Abandoned || completion.result == AttemptResult::CacheMiss;
  active_request->may_have_run |= !never_ran;
  if (active_request->streaming_attempt == attempt_id) {
    finish(attempt.request, nullptr, completion.result == AttemptResult::Ok);
  } else if (completion.result == AttemptResult::Ok && active_request->streaming_attempt == 0 &&
             !active_request->finished) {
    ClientResponse response;
    response.kind = ClientResponse::Kind::Served;
    response.body = std::move(completion.body);
    response.content_type = std::move(completion.content_type);
    finish(attempt.request, &response);
  }
  // Time spent waiting for a slow client is not attributed to the server.
  const double elapsed_ms = std::max(0.0, loop::now_ms() - attempt.sent_at - completion.paused_ms);
  log_failed_attempt(active_request->request->id, attempt.number, completion.result, elapsed_ms);
  report_outcome(attempt.request, attempt.number, attempt.server, elapsed_ms, completion.result,
                 std::move(completion.load_report), completion.on_reused_connection,
                 completion.first_on_connection);
  remove_if_done(attempt.request);
}

void RequestDispatcher::report_outcome(Handle request_id, std::uint32_t number, fernward::ServerId server,
                                       double elapsed_ms, AttemptResult result,
                                       std::vector<float> load_report, bool on_reused_connection,
                                       bool first_on_connection) {
  const ActiveRequest* active_request = requests_.find(request_id);
  fernward::AttemptOutcome attempt_outcome;
  attempt_outcome.id = request_id;
  attempt_outcome.attempt = number;
  attempt_outcome.server = server;
  attempt_outcome.result = result;
  attempt_outcome.elapsed_ms = elapsed_ms;
  attempt_outcome.request_ended = active_request == nullptr || active_request->finished;
  if (active_request != nullptr && active_request->request->streamed_body != nullptr) {
    const body_buffers::BodyAvailability body = active_request->request->streamed_body->availability();
    attempt_outcome.body_consumed =
        active_request->may_have_run ? !body.retry_if_executed : !body.retry_if_not_executed;
  }
  attempt_outcome.load_report = std::move(load_report);
  attempt_outcome.on_reused_connection = on_reused_connection;
  attempt_outcome.first_on_connection = first_on_connection;
  enqueue(std::move(attempt_outcome));
}

// `response`: null if a streamed response has ended (`complete` or not), or if no client waits. Attempts may
// still be in flight.
void RequestDispatcher::finish(Handle request_id, ClientResponse* response, bool complete) {
  ActiveRequest* active_request = requests_.find(request_id);
  if (active_request == nullptr || active_request->finished) return;
  active_request->finished = true;
  --unanswered_requests_;
  timers_.cancel(active_request->deadline_timer);
  if (active_request->streaming_attempt != 0) {
    downstream_->end_response(active_request->client, complete);
  } else if (response != nullptr) {
    downstream_->send_response(active_request->client, std::move(*response));
  }
  resume_responses_awaiting_budget();
}

void RequestDispatcher::remove_if_done(Handle request_id) {
  const ActiveRequest* active_request = requests_.find(request_id);
  if (active_request == nullptr || !active_request->finished || active_request->attempts_in_flight > 0)
    return;
  active_ids_.erase(active_request->request->id);
  requests_.remove(request_id);
}

} // namespace fernward::proxy
