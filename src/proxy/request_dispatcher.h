// Turns what happens on the sockets into the module's events and its actions into calls. It decides nothing:
// which target, whether again and when to give up come from the module.
//
// Everything that happens is put into a queue that is worked off from the event loop, so that no callback of a
// socket finds its own connection freed by what it reported.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <string>
#include <unordered_set>

#include "loop/timer_queue.h"
#include "proxy/call.h"

namespace fernward::proxy {

struct RequestDispatcherOptions {
  double grace_ms = 20;        // an answer may come this much after the client's deadline
  std::size_t open_cap = 4096; // exchanges at once
  double look_every_ms = 25; // nothing is decided by what discovery had said so long ago, see before_bursts()
};

class RequestDispatcher : public AttemptCallbacks {
 public:
  // The account outlives it.
  RequestDispatcher(event_base* base, loop::TimerQueue& deadlines, fernward::Balancer balancer,
                    const fernward::Settings& settings, body_buffers::BufferBudget& bytes,
                    const RequestDispatcherOptions& options);

  void attach(DownstreamConnections& clients, UpstreamConnections& egress) {
    clients_ = &clients, egress_ = &egress;
  }
  // Called before a burst of events is decided on, and between events once `look_every_ms` have passed, as after a list
  // that took long: what has come of discovery by then counts for all that follow.
  void before_bursts(std::function<void()> look) { look_ = std::move(look); }

  Handle open(Handle client, ClientRequest call); // 0: the table is full; `call`'s last byte has just come
  bool is_open(const std::string& id) const {
    return open_ids_.count(id) > 0;
  }                                 // a client waits under this id
  void body_whole(Handle exchange); // the last byte of its call has come, after open()
  void client_gone(Handle exchange);
  void drained(Handle exchange); // its client has taken some of the answer that passes through
  // The process ends soon: what has no final answer by then gets one, the last guard's.
  void ends_by(double by);
  void list(fernward::EndpointList list);
  void fleet(std::vector<fernward::Event> events); // what the tier's word comes to, see gossip/advice.h
  const fernward::Balancer& balancer() const { return balancer_; }
  fernward::Balancer::OriginBudget ledger() const { return balancer_.origin_budget(); }
  void change(const fernward::Settings& settings); // as of Balancer::change; throws std::invalid_argument

  void ended(Handle attempt, AttemptCompletion ending) override;
  double wait_until(Handle attempt) override;
  bool may_write(Handle attempt) override;
  bool begin(Handle attempt, ResponseHead opening) override;
  std::size_t room(Handle attempt) override;
  void pass(Handle attempt, std::string_view bytes, loop::IoBuffer& block) override;
  bool pass_from(Handle attempt, int socket, std::size_t most, loop::IoBuffer& block,
                 loop::Received& received, std::size_t& bytes) override;

  // Exchanges given up so far, by why the module gave them up.
  using Figures = std::array<std::uint64_t, static_cast<std::size_t>(fernward::GiveUpReason::Count)>;
  const Figures& given_up() const { return given_up_; }
  bool avoids(fernward::ServerId target) const { return balancer_.is_ejected(target); }
  std::size_t unanswered() const { return unanswered_; }
  std::size_t open_attempts() const { return attempts_.size(); }

 private:
  struct ActiveRequest {
    Handle client = 0;
    ClientRequestPtr call;
    double deadline = 0, aim_at = 0;
    std::vector<Handle> attempts; // by number
    Handle passing = 0;           // the attempt whose answer has begun to be passed on
    bool may_have_run = false;    // an attempt that has ended
    std::uint32_t tried = 0;      // attempts that began
    double first_at = 0;          // when the first was sent that may have run, or is out
    std::size_t out = 0;
    bool over = false;
    loop::TimerQueue::TimerId guard = 0;
  };
  struct Attempt {
    Handle exchange = 0;
    std::uint32_t number = 0;
    fernward::ServerId target = 0;
    double sent_at = 0, deadline = 0;
    loop::TimerQueue::TimerId timeout = 0;
  };

  static void pumped(int, short, void* self) { static_cast<RequestDispatcher*>(self)->pump(); }
  void enqueue(fernward::Event event);
  void pump();
  void look(bool burst);
  void carry_out(const fernward::Action& action);
  void send(const fernward::Send& send);
  void stop(Handle attempt, fernward::AttemptResult result);
  void end_attempt(Handle attempt, AttemptCompletion ending);
  bool is_passing(const ActiveRequest& x, std::size_t number) const;
  // begun: this attempt is one of those tried and out already.
  bool may_send(const ActiveRequest& x, double now, bool begun) const;
  void wait_for(Attempt& a, Handle attempt, double deadline);
  Handle client_of(Handle attempt);
  void go_on(Handle exchange);
  void wake();
  void outcome(Handle exchange, std::uint32_t number, fernward::ServerId target, double elapsed,
               fernward::AttemptResult result, std::vector<float> report = {}, bool rested = false,
               bool first = false);
  void give_up(Handle exchange, fernward::GiveUpReason why, ClientResponse answer);
  void finish(Handle exchange, ClientResponse* answer, bool whole = false);
  void overdue(Handle exchange);
  void drop_if_done(Handle exchange);

  loop::TimerQueue& deadlines_;
  fernward::Balancer balancer_;
  fernward::Settings settings_;
  body_buffers::BufferBudget& bytes_;
  RequestDispatcherOptions options_;
  DownstreamConnections* clients_ = nullptr;
  UpstreamConnections* egress_ = nullptr;
  loop::SlotMap<ActiveRequest> exchanges_;
  loop::SlotMap<Attempt> attempts_;
  std::deque<fernward::Event> events_;
  std::vector<fernward::Action> actions_;
  std::unordered_set<std::string> open_ids_; // of exchanges that are not over
  std::size_t unanswered_ = 0;
  double ends_by_ = 0; // 0: no end is known
  std::function<void()> look_;
  double looked_at_ = 0;
  Figures given_up_{};
  loop::EventPtr pump_;
};

} // namespace fernward::proxy
