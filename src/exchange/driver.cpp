#include "exchange/driver.h"

#include <algorithm>

#include "bodies/answer.h"
#include "log/log.h"

namespace fernward::exchange {

using fernward::Result;

namespace {

constexpr std::size_t kBurst = 4; // events at once; in an even flow there are one to three

} // namespace

Driver::Driver(event_base* base, loop::Deadlines& deadlines, fernward::Balancer balancer,
               const fernward::Settings& settings, bodies::Account& bytes, const DriverOptions& options)
    : deadlines_(deadlines),
      balancer_(std::move(balancer)),
      settings_(settings),
      bytes_(bytes),
      options_(options),
      exchanges_(options.open_cap),
      pump_(event_new(base, -1, 0, &Driver::pumped, this)) {
  if (pump_ == nullptr) throw std::bad_alloc();
}

// ---- what happens ----

Handle Driver::open(Handle client, Call call) {
  const Handle id = exchanges_.add();
  if (id == 0) return 0;
  Exchange& x = *exchanges_.find(id);
  x.client = client;
  x.call = std::make_shared<const Call>(std::move(call));
  const double now = loop::now_ms() + x.call->body_ms; // the client's time counts from its last byte on
  x.deadline = now + x.call->timeout_ms;
  x.aim_at = x.deadline;
  if (x.call->category < settings_.classes.size()) {
    const fernward::ClassSettings& rules = settings_.classes[x.call->category];
    if (rules.aim_ms > 0)
      x.aim_at = std::min(x.deadline, now + rules.aim_ms + rules.aim_stretch * x.call->work_ms);
  }
  // The last guard: the module answers earlier. Half the grace is left for the way back.
  x.guard = deadlines_.at(x.deadline + options_.grace_ms / 2, [this, id] { overdue(id); });
  ++unanswered_;
  open_ids_.insert(x.call->id);
  fernward::Request request;
  request.id = id;
  request.cls = x.call->category;
  request.tenant = x.call->tenant;
  request.key = x.call->key;
  request.deadline = x.deadline;
  request.work_ms = x.call->work_ms;
  request.write = x.call->write;
  if (x.call->body_ms > 0) request.whole_at = now;
  enqueue(request);
  return id;
}

void Driver::body_whole(Handle exchange) {
  Exchange* x = exchanges_.find(exchange);
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

void Driver::wait_for(Attempt& a, Handle attempt, double deadline) {
  deadlines_.cancel(a.timeout);
  a.deadline = deadline;
  a.timeout = deadlines_.at(deadline, [this, attempt] { stop(attempt, Result::TimedOut); });
}

void Driver::client_gone(Handle exchange) {
  const Exchange* x = exchanges_.find(exchange);
  if (x == nullptr || x->over) return;
  finish(exchange, nullptr);
  enqueue(fernward::ClientGone{exchange});
  drop_if_done(exchange);
}

void Driver::ended(Handle attempt, Ending ending) { end_attempt(attempt, std::move(ending)); }

// ---- an answer that passes through ----

double Driver::wait_until(Handle attempt) {
  const Attempt* a = attempts_.find(attempt);
  const Exchange* x = a == nullptr ? nullptr : exchanges_.find(a->exchange);
  return x == nullptr ? 0 : bodies::wait_until(a->sent_at, x->aim_at);
}

bool Driver::may_write(Handle attempt) {
  const Attempt* a = attempts_.find(attempt);
  const Exchange* x = a == nullptr ? nullptr : exchanges_.find(a->exchange);
  const double now = loop::now_ms();
  return x != nullptr && now < a->deadline && clients_->present(x->client) && may_send(*x, now, true);
}

bool Driver::begin(Handle attempt, Opening opening) {
  const Attempt* a = attempts_.find(attempt);
  Exchange* x = a == nullptr ? nullptr : exchanges_.find(a->exchange);
  // Of two copies the first to begin is the answer: the module cuts off the other.
  if (x == nullptr || x->over || x->passing != 0) return false;
  if (!clients_->begin(x->client, std::move(opening))) return false;
  x->passing = attempt;
  // Its first bytes were in time. From here on the node's and the client's pace counts, which both sides watch.
  deadlines_.cancel(x->guard);
  deadlines_.cancel(attempts_.find(attempt)->timeout);
  enqueue(fernward::StreamOpened{a->exchange, a->number, a->target, loop::now_ms() - a->sent_at});
  return true;
}

Handle Driver::client_of(Handle attempt) {
  const Attempt* a = attempts_.find(attempt);
  const Exchange* x = a == nullptr ? nullptr : exchanges_.find(a->exchange);
  return x == nullptr || x->over || x->passing != attempt ? 0 : x->client;
}

std::size_t Driver::room(Handle attempt) { return clients_->room(client_of(attempt)); }

void Driver::pass(Handle attempt, std::string_view bytes, loop::Block& block) {
  clients_->pass(client_of(attempt), bytes, block);
}

bool Driver::pass_from(Handle attempt, int socket, std::size_t most, loop::Block& block,
                       loop::Received& received, std::size_t& bytes) {
  return clients_->pass_from(client_of(attempt), socket, most, block, received, bytes);
}

void Driver::drained(Handle exchange) {
  go_on(exchange);
  wake();
}

void Driver::go_on(Handle exchange) {
  if (const Exchange* x = exchanges_.find(exchange); x != nullptr && x->passing != 0)
    egress_->go_on(x->passing);
}

// Those that found no room at all, and have nothing of their own that could drain.
void Driver::wake() {
  while (const auto exchange = bytes_.next()) go_on(*exchange);
}

// Its first byte is out: what the module decided in the same moment comes too late.
bool Driver::is_passing(const Exchange& x, std::size_t number) const {
  return !x.over && x.passing != 0 && x.attempts[number] == x.passing;
}

void Driver::ends_by(double by) {
  ends_by_ = by;
  exchanges_.each([&](Handle id, Exchange& x) {
    if (x.over || x.passing != 0 || x.deadline + options_.grace_ms / 2 <= by) return;
    deadlines_.cancel(x.guard);
    x.guard = deadlines_.at(by, [this, id] { overdue(id); });
  });
}

void Driver::fleet(std::vector<fernward::Event> events) {
  for (auto& event : events) enqueue(std::move(event));
}

void Driver::list(fernward::ServerList list) { enqueue(std::move(list)); }

void Driver::change(const fernward::Settings& settings) {
  balancer_.change(settings);
  settings_ = settings;
}

void Driver::overdue(Handle exchange) {
  Exchange* x = exchanges_.find(exchange);
  if (x == nullptr || x->over) return;
  x->guard = 0;
  // Of a body that came sooner than it might have, the module does not know.
  if (x->call->body_ms == 0 && loop::now_ms() >= x->deadline)
    log::line("exchange-overdue", {{"id", x->call->id}, {"attempts", x->attempts.size()}});
  Answer answer; // failed
  finish(exchange, &answer);
  enqueue(fernward::ClientGone{exchange});
  drop_if_done(exchange);
}

// ---- the module ----

void Driver::enqueue(fernward::Event event) {
  events_.push_back(std::move(event));
  event_active(pump_.get(), EV_TIMEOUT, 0);
}

void Driver::pump() {
  look(events_.size() >= kBurst);
  while (!events_.empty()) {
    const fernward::Event event = std::move(events_.front());
    events_.pop_front();
    actions_.clear();
    balancer_.on(loop::now_ms(), event, actions_);
    for (const fernward::Action& action : actions_) carry_out(action);
    look(false);
  }
}

void Driver::look(bool burst) {
  const double now = loop::now_ms();
  if (!look_ || (!burst && now - looked_at_ < options_.look_every_ms)) return;
  look_();
  looked_at_ = loop::now_ms();
}

void Driver::carry_out(const fernward::Action& action) {
  if (const auto* a = std::get_if<fernward::Send>(&action)) {
    send(*a);
  } else if (const auto* refuse = std::get_if<fernward::Refuse>(&action)) {
    Answer answer;
    answer.kind = Answer::Kind::Refused;
    answer.retry_after_ms = refuse->retry_after_ms;
    give_up(refuse->id, refuse->why, std::move(answer));
  } else if (const auto* fail = std::get_if<fernward::Fail>(&action)) {
    give_up(fail->id, fail->why, Answer());
  } else if (const auto* cancel = std::get_if<fernward::Cancel>(&action)) {
    const Exchange* x = exchanges_.find(cancel->id);
    if (x != nullptr && cancel->attempt < x->attempts.size() && !is_passing(*x, cancel->attempt)) {
      stop(x->attempts[cancel->attempt], Result::Cancelled);
    }
  } else if (const auto* timer = std::get_if<fernward::SetTimer>(&action)) {
    const std::uint64_t token = timer->token;
    deadlines_.at(loop::now_ms() + timer->delay_ms, [this, token] { enqueue(fernward::TimerFired{token}); });
  } else if (const auto* said = std::get_if<fernward::Log>(&action)) {
    log::line("module", {{"says", said->text}});
  } else if (std::get_if<fernward::Watch>(&action) != nullptr) {
    // The route table is always watched: the call is answered at once, with no changes.
    enqueue(fernward::ServerList{fernward::ListKind::Delta, {}});
  } else if (const auto* probe = std::get_if<fernward::Probe>(&action)) {
    enqueue(fernward::ProbeResult{probe->server, 0, false, {}}); // the program sends none
  }
}

void Driver::give_up(Handle exchange, fernward::Why why, Answer answer) {
  const Exchange* x = exchanges_.find(exchange);
  if (x == nullptr || x->passing != 0) return;
  ++given_up_[static_cast<std::size_t>(why)];
  finish(exchange, &answer);
  drop_if_done(exchange);
}

void Driver::send(const fernward::Send& send) {
  Exchange* x = exchanges_.find(send.id);
  if (x == nullptr) return;
  const double now = loop::now_ms();
  const auto number = static_cast<std::uint32_t>(x->attempts.size());
  const double deadline = send.timeout_ms == 0 ? x->deadline : std::min(x->deadline, now + send.timeout_ms);
  Handle handle = 0;
  Result result = Result::Moot;
  if (!x->over && !clients_->present(x->client)) { // told here before its connection's end is read
    x->attempts.push_back(0);
    client_gone(send.id);
    return outcome(send.id, number, send.server, 0, result);
  }
  const bool open = number < settings_.attempts_of(x->call->category) && now < deadline;
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
    if (start == EgressSide::Start::Begun) {
      if (x->out == 1 && !x->may_have_run) x->first_at = now;
      ++x->tried;
      return wait_for(a, handle, deadline);
    }
    if (start == EgressSide::Start::NoTarget) result = Result::ConnectFailed;
    if (start == EgressSide::Start::Full) log::line("egress-table-full");
    x->attempts.back() = 0;
    attempts_.remove(handle);
  }
  --x->out;
  outcome(send.id, number, send.server, 0, result);
}

// The last word on an attempt, as it is decided and again as its first byte is written: its request waits, and the class
// and what is left of the body allow it. The module knows the class and asks for none past it.
bool Driver::may_send(const Exchange& x, double now, bool begun) const {
  if (x.over || x.passing != 0 || x.call->category >= settings_.classes.size()) return false;
  const fernward::ClassSettings& rules = settings_.classes[x.call->category];
  const bodies::Allows body = x.call->inflow == nullptr ? bodies::Allows() : x.call->inflow->allows();
  const bodies::Past past{x.tried - begun, x.out > std::size_t{begun}, x.may_have_run, now - x.first_at};
  const bool may = bodies::may_send(body, rules.repeat, rules.window_ms, past);
  if (!may && body.again) log::line("resend-held-back", {{"id", x.call->id}, {"attempts", x.tried}});
  return may;
}

// Stops waiting for an attempt; its connection is closed, as an answer is still due on it.
void Driver::stop(Handle attempt, Result result) {
  if (attempts_.find(attempt) == nullptr) return;
  const EgressSide::Pause pause = egress_->cancel(attempt);
  Ending ending;
  // Where the time ran out on a client that takes nothing, its target is not at fault.
  ending.result = result == Result::TimedOut && pause.lasts ? Result::Cancelled : result;
  ending.paused_ms = pause.ms;
  end_attempt(attempt, std::move(ending));
}

void Driver::end_attempt(Handle attempt, Ending ending) {
  Attempt* found = attempts_.find(attempt);
  if (found == nullptr) return;
  Attempt a = *found;
  deadlines_.cancel(a.timeout);
  attempts_.remove(attempt);
  Exchange* x = exchanges_.find(a.exchange);
  if (x == nullptr) return;
  x->attempts[a.number] = 0;
  --x->out;
  const bool never_ran = ending.result == Result::Full || ending.result == Result::ConnectFailed ||
                         ending.result == Result::Moot || ending.result == Result::Miss;
  x->may_have_run |= !never_ran;
  if (x->passing == attempt) {
    finish(a.exchange, nullptr, ending.result == Result::Ok);
  } else if (ending.result == Result::Ok && x->passing == 0 && !x->over) {
    Answer answer;
    answer.kind = Answer::Kind::Served;
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

void Driver::outcome(Handle exchange, std::uint32_t number, fernward::ServerId target, double elapsed,
                     Result result, std::vector<float> report, bool rested, bool first) {
  const Exchange* x = exchanges_.find(exchange);
  fernward::Outcome told;
  told.id = exchange;
  told.attempt = number;
  told.server = target;
  told.result = result;
  told.elapsed_ms = elapsed;
  told.ended = x == nullptr || x->over;
  if (x != nullptr && x->call->inflow != nullptr) {
    const bodies::Allows body = x->call->inflow->allows();
    told.spent = x->may_have_run ? !body.again : !body.not_run;
  }
  told.report = std::move(report);
  told.rested = rested;
  told.first = first;
  enqueue(std::move(told));
}

// The exchange has its final answer: this one, or one that passed through and has come to its end, whole or not; or
// nobody waits for one. Attempts may go on.
void Driver::finish(Handle exchange, Answer* answer, bool whole) {
  Exchange* x = exchanges_.find(exchange);
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

void Driver::drop_if_done(Handle exchange) {
  const Exchange* x = exchanges_.find(exchange);
  if (x != nullptr && x->over && x->out == 0) exchanges_.remove(exchange);
}

} // namespace fernward::exchange
