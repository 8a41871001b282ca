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
    : deadlines_(deadlines),
      balancer_(std::move(balancer)),
      settings_(settings),
      bytes_(bytes),
      options_(options),
      exchanges_(options.open_cap),
      pump_(event_new(base, -1, 0, &RequestDispatcher::pumped, this)) {
  if (pump_ == nullptr) throw std::bad_alloc();
}

// ---- what happens ----

Handle RequestDispatcher::open(Handle client, ClientRequest call) {
  const Handle id = exchanges_.add();
  if (id == 0) return 0;
  ActiveRequest& x = *exchanges_.find(id);
  x.client = client;
  x.call = std::make_shared<const ClientRequest>(std::move(call));
  const double now = loop::now_ms() + x.call->body_ms; // the client's time counts from its last byte on
  x.deadline = now + x.call->timeout_ms;
  x.aim_at = x.deadline;
  if (x.call->category < settings_.classes.size()) {
    const fernward::ClassSettings& rules = settings_.classes[x.call->category];
    if (rules.latency_objective_ms > 0)
      x.aim_at =
          std::min(x.deadline, now + rules.latency_objective_ms + rules.objective_per_work * x.call->work_ms);
  }
  // The last guard: the module answers earlier. Half the grace is left for the way back.
  x.guard = deadlines_.at(x.deadline + options_.grace_ms / 2, [this, id] { overdue(id); });
  ++unanswered_;
  open_ids_.insert(x.call->id);
  fernward::Request request;
  request.id = id;
  request.class_index = x.call->category;
  request.tenant = x.call->tenant;
  request.key = x.call->key;
  request.deadline = x.deadline;
  request.expected_work_ms = x.call->work_ms;
  request.write = x.call->write;
  if (x.call->body_ms > 0) request.body_complete_at = now;
  enqueue(request);
  return id;
}

void RequestDispatcher::body_whole(Handle exchange) {
  ActiveRequest* x = exchanges_.find(exchange);
  if (x == nullptr || x->over || x->passing != 0) return;
  const double late = loop::now_ms() + x->call->timeout_ms - x->deadline; // than it looked when it began
  x->deadline += late;
  x->aim_at += late;
  deadlines_.cancel(x->guard);
  double guard_at = x->deadline + options_.grace_ms / 2;
  if (ends_by_ > 0) guard_at = std::min(guard_at, ends_by_);
  x->guard = deadlines_.at(guard_at, [this, exchange] { overdue(exchange); });
  for (const Handle attempt : x->attempts) {
    if (Attempt* a = attempts_.find(attempt)) wait_for(*a, attempt, a->deadline + late);
  }
}

void RequestDispatcher::wait_for(Attempt& a, Handle attempt, double deadline) {
  deadlines_.cancel(a.timeout);
  a.deadline = deadline;
  a.timeout = deadlines_.at(deadline, [this, attempt] { stop(attempt, AttemptResult::TimedOut); });
}

void RequestDispatcher::client_gone(Handle exchange) {
  const ActiveRequest* x = exchanges_.find(exchange);
  if (x == nullptr || x->over) return;
  finish(exchange, nullptr);
  enqueue(fernward::ClientDisconnected{exchange});
  drop_if_done(exchange);
}

void RequestDispatcher::ended(Handle attempt, AttemptCompletion ending) {
  end_attempt(attempt, std::move(ending));
}

// ---- an answer that passes through ----

double RequestDispatcher::wait_until(Handle attempt) {
  const Attempt* a = attempts_.find(attempt);
  const ActiveRequest* x = a == nullptr ? nullptr : exchanges_.find(a->exchange);
  return x == nullptr ? 0 : body_buffers::wait_until(a->sent_at, x->aim_at);
}

bool RequestDispatcher::may_write(Handle attempt) {
  const Attempt* a = attempts_.find(attempt);
  const ActiveRequest* x = a == nullptr ? nullptr : exchanges_.find(a->exchange);
  const double now = loop::now_ms();
  return x != nullptr && now < a->deadline && clients_->present(x->client) && may_send(*x, now, true);
}

bool RequestDispatcher::begin(Handle attempt, ResponseHead opening) {
  const Attempt* a = attempts_.find(attempt);
  ActiveRequest* x = a == nullptr ? nullptr : exchanges_.find(a->exchange);
  // Of two copies the first to begin is the answer: the module cuts off the other.
  if (x == nullptr || x->over || x->passing != 0) return false;
  if (!clients_->begin(x->client, std::move(opening))) return false;
  x->passing = attempt;
  // Its first bytes were in time. From here on the node's and the client's pace counts, which both sides watch.
  deadlines_.cancel(x->guard);
  deadlines_.cancel(attempts_.find(attempt)->timeout);
  enqueue(fernward::ResponseStarted{a->exchange, a->number, a->target, loop::now_ms() - a->sent_at});
  return true;
}

Handle RequestDispatcher::client_of(Handle attempt) {
  const Attempt* a = attempts_.find(attempt);
  const ActiveRequest* x = a == nullptr ? nullptr : exchanges_.find(a->exchange);
  return x == nullptr || x->over || x->passing != attempt ? 0 : x->client;
}

std::size_t RequestDispatcher::room(Handle attempt) { return clients_->room(client_of(attempt)); }

void RequestDispatcher::pass(Handle attempt, std::string_view bytes, loop::IoBuffer& block) {
  clients_->pass(client_of(attempt), bytes, block);
}

bool RequestDispatcher::pass_from(Handle attempt, int socket, std::size_t most, loop::IoBuffer& block,
                                  loop::Received& received, std::size_t& bytes) {
  return clients_->pass_from(client_of(attempt), socket, most, block, received, bytes);
}

void RequestDispatcher::drained(Handle exchange) {
  go_on(exchange);
  wake();
}

void RequestDispatcher::go_on(Handle exchange) {
  if (const ActiveRequest* x = exchanges_.find(exchange); x != nullptr && x->passing != 0)
    egress_->go_on(x->passing);
}

// Those that found no room at all, and have nothing of their own that could drain.
void RequestDispatcher::wake() {
  while (const auto exchange = bytes_.next()) go_on(*exchange);
}

// Its first byte is out: what the module decided in the same moment comes too late.
bool RequestDispatcher::is_passing(const ActiveRequest& x, std::size_t number) const {
  return !x.over && x.passing != 0 && x.attempts[number] == x.passing;
}

void RequestDispatcher::ends_by(double by) {
  ends_by_ = by;
  exchanges_.each([&](Handle id, ActiveRequest& x) {
    if (x.over || x.passing != 0 || x.deadline + options_.grace_ms / 2 <= by) return;
    deadlines_.cancel(x.guard);
    x.guard = deadlines_.at(by, [this, id] { overdue(id); });
  });
}

void RequestDispatcher::fleet(std::vector<fernward::Event> events) {
  for (auto& event : events) enqueue(std::move(event));
}

void RequestDispatcher::list(fernward::EndpointList list) { enqueue(std::move(list)); }

void RequestDispatcher::change(const fernward::Settings& settings) {
  balancer_.update_settings(settings);
  settings_ = settings;
}

void RequestDispatcher::overdue(Handle exchange) {
  ActiveRequest* x = exchanges_.find(exchange);
  if (x == nullptr || x->over) return;
  x->guard = 0;
  // Of a body that came sooner than it might have, the module does not know.
  if (x->call->body_ms == 0 && loop::now_ms() >= x->deadline)
    log::line("exchange-overdue", {{"id", x->call->id}, {"attempts", x->attempts.size()}});
  ClientResponse answer; // failed
  finish(exchange, &answer);
  enqueue(fernward::ClientDisconnected{exchange});
  drop_if_done(exchange);
}

// ---- the module ----

void RequestDispatcher::enqueue(fernward::Event event) {
  events_.push_back(std::move(event));
  event_active(pump_.get(), EV_TIMEOUT, 0);
}

void RequestDispatcher::pump() {
  look(events_.size() >= kBurst);
  while (!events_.empty()) {
    const fernward::Event event = std::move(events_.front());
    events_.pop_front();
    actions_.clear();
    balancer_.on_event(loop::now_ms(), event, actions_);
    for (const fernward::Action& action : actions_) carry_out(action);
    look(false);
  }
}

void RequestDispatcher::look(bool burst) {
  const double now = loop::now_ms();
  if (!look_ || (!burst && now - looked_at_ < options_.look_every_ms)) return;
  look_();
  looked_at_ = loop::now_ms();
}

void RequestDispatcher::carry_out(const fernward::Action& action) {
  if (const auto* a = std::get_if<fernward::Send>(&action)) {
    send(*a);
  } else if (const auto* refuse = std::get_if<fernward::Reject>(&action)) {
    ClientResponse answer;
    answer.kind = ClientResponse::Kind::Refused;
    answer.retry_after_ms = refuse->retry_after_ms;
    give_up(refuse->id, refuse->reason, std::move(answer));
  } else if (const auto* fail = std::get_if<fernward::Fail>(&action)) {
    give_up(fail->id, fail->reason, ClientResponse());
  } else if (const auto* cancel = std::get_if<fernward::Cancel>(&action)) {
    const ActiveRequest* x = exchanges_.find(cancel->id);
    if (x != nullptr && cancel->attempt < x->attempts.size() && !is_passing(*x, cancel->attempt)) {
      stop(x->attempts[cancel->attempt], AttemptResult::Cancelled);
    }
  } else if (const auto* timer = std::get_if<fernward::SetTimer>(&action)) {
    const std::uint64_t token = timer->token;
    deadlines_.at(loop::now_ms() + timer->delay_ms, [this, token] { enqueue(fernward::TimerFired{token}); });
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
  const ActiveRequest* x = exchanges_.find(exchange);
  if (x == nullptr || x->passing != 0) return;
  ++given_up_[static_cast<std::size_t>(why)];
  finish(exchange, &answer);
  drop_if_done(exchange);
}

void RequestDispatcher::send(const fernward::Send& send) {
  ActiveRequest* x = exchanges_.find(send.id);
  if (x == nullptr) return;
  const double now = loop::now_ms();
  const auto number = static_cast<std::uint32_t>(x->attempts.size());
  const double deadline = send.timeout_ms == 0 ? x->deadline : std::min(x->deadline, now + send.timeout_ms);
  Handle handle = 0;
  AttemptResult result = AttemptResult::Abandoned;
  if (!x->over && !clients_->present(x->client)) { // told here before its connection's end is read
    x->attempts.push_back(0);
    client_gone(send.id);
    return outcome(send.id, number, send.server, 0, result);
  }
  const bool open = number < settings_.max_attempts_of(x->call->category) && now < deadline;
  if (open && may_send(*x, now, false)) handle = attempts_.add();
  ++x->out;
  x->attempts.push_back(handle);
  if (handle != 0) {
    Attempt& a = *attempts_.find(handle);
    a.exchange = send.id;
    a.number = number;
    a.target = send.server;
    a.sent_at = now;
    const auto start = egress_->start(handle, send.server, x->call, deadline);
    if (start == UpstreamConnections::Start::Begun) {
      if (x->out == 1 && !x->may_have_run) x->first_at = now;
      ++x->tried;
      return wait_for(a, handle, deadline);
    }
    if (start == UpstreamConnections::Start::NoTarget) result = AttemptResult::ConnectFailed;
    if (start == UpstreamConnections::Start::Full) log::line("egress-table-full");
    x->attempts.back() = 0;
    attempts_.remove(handle);
  }
  --x->out;
  outcome(send.id, number, send.server, 0, result);
}

// The last word on an attempt, as it is decided and again as its first byte is written: its request waits, and the class
// and what is left of the body allow it. The module knows the class and asks for none past it.
bool RequestDispatcher::may_send(const ActiveRequest& x, double now, bool begun) const {
  if (x.over || x.passing != 0 || x.call->category >= settings_.classes.size()) return false;
  const fernward::ClassSettings& rules = settings_.classes[x.call->category];
  const body_buffers::Allows body =
      x.call->inflow == nullptr ? body_buffers::Allows() : x.call->inflow->allows();
  const body_buffers::Past past{x.tried - begun, x.out > std::size_t{begun}, x.may_have_run,
                                now - x.first_at};
  const bool may = body_buffers::may_send(body, rules.idempotency, rules.idempotency_window_ms, past);
  if (!may && body.again) log::line("resend-held-back", {{"id", x.call->id}, {"attempts", x.tried}});
  return may;
}

// Stops waiting for an attempt; its connection is closed, as an answer is still due on it.
void RequestDispatcher::stop(Handle attempt, AttemptResult result) {
  if (attempts_.find(attempt) == nullptr) return;
  const UpstreamConnections::Pause pause = egress_->cancel(attempt);
  AttemptCompletion ending;
  // Where the time ran out on a client that takes nothing, its target is not at fault.
  ending.result = result == AttemptResult::TimedOut && pause.lasts ? AttemptResult::Cancelled : result;
  ending.paused_ms = pause.ms;
  end_attempt(attempt, std::move(ending));
}

void RequestDispatcher::end_attempt(Handle attempt, AttemptCompletion ending) {
  Attempt* found = attempts_.find(attempt);
  if (found == nullptr) return;
  Attempt a = *found;
  deadlines_.cancel(a.timeout);
  attempts_.remove(attempt);
  ActiveRequest* x = exchanges_.find(a.exchange);
  if (x == nullptr) return;
  x->attempts[a.number] = 0;
  --x->out;
  const bool never_ran =
      ending.result == AttemptResult::Overloaded || ending.result == AttemptResult::ConnectFailed ||
      ending.result == AttemptResult::Abandoned || ending.result == AttemptResult::CacheMiss;
  x->may_have_run |= !never_ran;
  if (x->passing == attempt) {
    finish(a.exchange, nullptr, ending.result == AttemptResult::Ok);
  } else if (ending.result == AttemptResult::Ok && x->passing == 0 && !x->over) {
    ClientResponse answer;
    answer.kind = ClientResponse::Kind::Served;
    answer.body = std::move(ending.body);
    answer.content_type = std::move(ending.content_type);
    finish(a.exchange, &answer);
  }
  // What the client's slowness took is no sign of the target's.
  const double elapsed = std::max(0.0, loop::now_ms() - a.sent_at - ending.paused_ms);
  outcome(a.exchange, a.number, a.target, elapsed, ending.result, std::move(ending.report), ending.rested,
          ending.first);
  drop_if_done(a.exchange);
}

void RequestDispatcher::outcome(Handle exchange, std::uint32_t number, fernward::ServerId target,
                                double elapsed, AttemptResult result, std::vector<float> report, bool rested,
                                bool first) {
  const ActiveRequest* x = exchanges_.find(exchange);
  fernward::AttemptOutcome told;
  told.id = exchange;
  told.attempt = number;
  told.server = target;
  told.result = result;
  told.elapsed_ms = elapsed;
  told.request_ended = x == nullptr || x->over;
  if (x != nullptr && x->call->inflow != nullptr) {
    const body_buffers::Allows body = x->call->inflow->allows();
    told.body_consumed = x->may_have_run ? !body.again : !body.not_run;
  }
  told.load_report = std::move(report);
  told.on_reused_connection = rested;
  told.first_on_connection = first;
  enqueue(std::move(told));
}

// The exchange has its final answer: this one, or one that passed through and has come to its end, whole or not; or
// nobody waits for one. Attempts may go on.
void RequestDispatcher::finish(Handle exchange, ClientResponse* answer, bool whole) {
  ActiveRequest* x = exchanges_.find(exchange);
  if (x == nullptr || x->over) return;
  x->over = true;
  --unanswered_;
  open_ids_.erase(x->call->id);
  deadlines_.cancel(x->guard);
  if (x->passing != 0) {
    clients_->end(x->client, whole);
  } else if (answer != nullptr) {
    clients_->answer(x->client, std::move(*answer));
  }
  wake();
}

void RequestDispatcher::drop_if_done(Handle exchange) {
  const ActiveRequest* x = exchanges_.find(exchange);
  if (x != nullptr && x->over && x->out == 0) exchanges_.remove(exchange);
}

} // namespace fernward::proxy
