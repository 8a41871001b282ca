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
#include "proxy/attempt_callbacks.h"
#include "proxy/client_request.h"
#include "proxy/downstream_connections.h"
#include "proxy/upstream_connections.h"

namespace fernward::proxy {

struct RequestDispatcherOptions {
  double grace_ms = 20;            // an answer may come this much after the client's deadline
  std::size_t max_requests = 4096; // exchanges at once
  double discovery_poll_interval_ms =
      25; // nothing is decided by what discovery had said so long ago, see before_bursts()
};

class RequestDispatcher : public AttemptCallbacks {
 public:
  // The account outlives it.
  RequestDispatcher(event_base* base, loop::TimerQueue& deadlines, fernward::Balancer balancer,
                    const fernward::Settings& settings, body_buffers::BufferBudget& bytes,
                    const RequestDispatcherOptions& options);

  void attach(DownstreamConnections& clients, UpstreamConnections& egress) {
    downstream_ = &clients, upstream_ = &egress;
  }
  // Called before a burst of events is decided on, and between events once `look_every_ms` have passed, as after a list
  // that took long: what has come of discovery by then counts for all that follow.
  void set_discovery_poll(std::function<void()> look) { discovery_poll_ = std::move(look); }

  Handle open_request(Handle client,
                      ClientRequest call); // 0: the table is full; `call`'s last byte has just come
  bool is_waiting_for(const std::string& id) const {
    return waiting_ids_.count(id) > 0;
  }                                    // a client waits under this id
  void body_complete(Handle exchange); // the last byte of its call has come, after open()
  void client_disconnected(Handle exchange);
  void response_drained(Handle exchange); // its client has taken some of the answer that passes through
  // The process ends soon: what has no final answer by then gets one, the last guard's.
  void answer_all_by(double by);
  void update_endpoints(fernward::EndpointList list);
  void on_fleet_events(
      std::vector<fernward::Event> events); // what the tier's word comes to, see shared/advice.h
  const fernward::Balancer& balancer() const { return balancer_; }
  fernward::Balancer::OriginBudget origin_budget() const { return balancer_.origin_budget(); }
  void update_settings(
      const fernward::Settings& settings); // as of Balancer::change; throws std::invalid_argument

  void on_attempt_complete(Handle attempt, AttemptCompletion ending) override;
  double buffer_until(Handle attempt) override;
  bool may_write_request(Handle attempt) override;
  bool start_response(Handle attempt, ResponseHead opening) override;
  std::size_t writable_bytes(Handle attempt) override;
  void write(Handle attempt, std::string_view bytes, loop::IoBuffer& block) override;
  bool splice_from(Handle attempt, int socket, std::size_t most, loop::IoBuffer& block,
                   loop::Received& received, std::size_t& bytes) override;

  // Exchanges given up so far, by why the module gave them up.
  using GiveUpCounts = std::array<std::uint64_t, static_cast<std::size_t>(fernward::GiveUpReason::Count)>;
  const GiveUpCounts& give_up_counts() const { return give_up_counts_; }
  bool is_ejected(fernward::ServerId target) const { return balancer_.is_ejected(target); }
  std::size_t unanswered_requests() const { return unanswered_requests_; }
  std::size_t attempts_in_flight() const { return attempts_.size(); }

 private:
  struct ActiveRequest {
    Handle client = 0;
    ClientRequestPtr request;
    double deadline = 0, objective_at = 0;
    std::vector<Handle> attempts;       // by number
    Handle streaming_attempt = 0;       // the attempt whose answer has begun to be passed on
    bool may_have_run = false;          // an attempt that has ended
    std::uint32_t attempts_started = 0; // attempts that began
    double first_sent_at = 0;           // when the first was sent that may have run, or is out
    std::size_t attempts_in_flight = 0;
    bool finished = false;
    loop::TimerQueue::TimerId deadline_timer = 0;
  };
  struct Attempt {
    Handle request = 0;
    std::uint32_t number = 0;
    fernward::ServerId server = 0;
    double sent_at = 0, deadline = 0;
    loop::TimerQueue::TimerId timeout = 0;
  };

  static void on_events_ready(int, short, void* self) {
    static_cast<RequestDispatcher*>(self)->process_events();
  }
  void enqueue(fernward::Event event);
  void process_events();
  void poll_discovery(bool burst);
  void execute(const fernward::Action& action);
  void start_attempt(const fernward::Send& send);
  void cancel_attempt(Handle attempt, fernward::AttemptResult result);
  void complete_attempt(Handle attempt, AttemptCompletion ending);
  bool is_streaming(const ActiveRequest& x, std::size_t number) const;
  // begun: this attempt is one of those tried and out already.
  bool may_send(const ActiveRequest& x, double now, bool begun) const;
  void set_attempt_deadline(Attempt& a, Handle attempt, double deadline);
  Handle client_of_streaming(Handle attempt);
  void resume_reading(Handle exchange);
  void resume_blocked_readers();
  void report_outcome(Handle exchange, std::uint32_t number, fernward::ServerId target, double elapsed,
                      fernward::AttemptResult result, std::vector<float> report = {}, bool rested = false,
                      bool first = false);
  void give_up(Handle exchange, fernward::GiveUpReason why, ClientResponse answer);
  void finish(Handle exchange, ClientResponse* answer, bool whole = false);
  void on_deadline(Handle exchange);
  void remove_if_done(Handle exchange);

  loop::TimerQueue& timers_;
  fernward::Balancer balancer_;
  fernward::Settings settings_;
  body_buffers::BufferBudget& buffer_budget_;
  RequestDispatcherOptions options_;
  DownstreamConnections* downstream_ = nullptr;
  UpstreamConnections* upstream_ = nullptr;
  loop::SlotMap<ActiveRequest> requests_;
  loop::SlotMap<Attempt> attempts_;
  std::deque<fernward::Event> events_;
  std::vector<fernward::Action> actions_;
  std::unordered_set<std::string> waiting_ids_; // of exchanges that are not over
  std::size_t unanswered_requests_ = 0;
  double answer_all_by_ = 0; // 0: no end is known
  std::function<void()> discovery_poll_;
  double discovery_polled_at_ = 0;
  GiveUpCounts give_up_counts_{};
  loop::EventPtr events_ready_;
};

} // namespace fernward::proxy
