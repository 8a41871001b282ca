// Translates socket activity into events for the Balancer, and executes the Balancer's actions.
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
  double grace_ms = 20;            // a response may arrive this long after the client's deadline
  std::size_t max_requests = 4096; // maximum number of active requests
  // Discovery is polled before a burst of events, and between events after this interval, so that no decision
  // uses an older endpoint list.
  double discovery_poll_interval_ms = 25;
};

// The Balancer makes the decisions: which server, whether to retry, when to give up. This class only refuses
// attempts that have become pointless or unsafe since the decision, see may_send().
//
// Events are queued and processed from the event loop, so that no socket callback finds its connection freed
// as a result of its own event. A request is active until its final response (or the disconnect of its
// client) and the end of its last attempt:
//   waiting -> streaming (an attempt's response has started) -> finished
//   waiting -> finished -> removed, once no attempt is in flight
// Handles of removed requests are accepted everywhere and have no effect. Single-threaded. Times are on the
// loop::now_ms() clock.
class RequestDispatcher : public AttemptCallbacks {
 public:
  // `buffer_budget` must outlive the dispatcher.
  RequestDispatcher(event_base* base, loop::TimerQueue& timers, fernward::Balancer balancer,
                    const fernward::Settings& settings, body_buffers::BufferBudget& buffer_budget,
                    const RequestDispatcherOptions& options);

  // To be called before the first request; both must outlive the dispatcher.
  void attach(DownstreamConnections& downstream, UpstreamConnections& upstream) {
    downstream_ = &downstream;
    upstream_ = &upstream;
  }
  // `poll` processes pending updates from discovery, see
  // RequestDispatcherOptions::discovery_poll_interval_ms.
  void set_discovery_poll(std::function<void()> poll) { discovery_poll_ = std::move(poll); }

  // Adds a request that is complete, or whose body is still arriving. Returns 0 if there are too many
  // requests.
  Handle open_request(Handle client, ClientRequest request);
  // Whether a request with this id is active, see the class comment.
  bool is_active_id(const std::string& id) const { return active_ids_.count(id) > 0; }
  // The deadlines are counted from `received_at_ms` from now on, see ClientRequest::received_at_ms.
  void update_received_at(Handle request_id, double received_at_ms);
  void client_disconnected(Handle request_id);
  // The client has received part of a streamed response, and more can be written.
  void response_drained(Handle request_id);
  // Resumes responses that found the buffer budget exhausted and have no buffered bytes whose draining would
  // resume them. To be called when memory was freed.
  void resume_responses_awaiting_budget();
  // Graceful shutdown: requests that have no final response by this time fail then. Requests that are opened
  // later get a deadline that is no later, so that the Balancer gives them up in time.
  void respond_to_all_by(double respond_by);
  void update_endpoints(fernward::EndpointList list);
  // Events derived from the gossip of the other routers, see gossip/balancer_exchange.h.
  void on_fleet_events(std::vector<fernward::Event> events);
  const fernward::Balancer& balancer() const { return balancer_; }
  fernward::Balancer::OriginBudget origin_budget() const { return balancer_.origin_budget(); }
  // Throws std::invalid_argument, like Balancer::update_settings.
  void update_settings(const fernward::Settings& settings);

  void on_attempt_complete(Handle attempt_id, AttemptCompletion completion) override;
  void on_response_head(Handle attempt_id) override;
  double client_deadline(Handle attempt_id) override;
  double buffer_until(Handle attempt_id) override;
  bool may_write_request(Handle attempt_id) override;
  bool start_response(Handle attempt_id, ResponseHead head) override;
  std::size_t writable_bytes(Handle attempt_id) override;
  void write(Handle attempt_id, std::string_view bytes) override;
  bool splice_from(Handle attempt_id, int socket, std::size_t max_bytes, loop::IoBuffer& io_buffer,
                   loop::ReceiveResult& received, std::size_t& bytes) override;

  // The number of requests rejected or failed by the Balancer so far, by reason.
  using GiveUpCounts = std::array<std::uint64_t, static_cast<std::size_t>(fernward::GiveUpReason::Count)>;
  const GiveUpCounts& give_up_counts() const { return give_up_counts_; }
  bool is_ejected(fernward::ServerId server) const { return balancer_.is_ejected(server); }
  std::size_t unanswered_requests() const { return unanswered_requests_; }
  std::size_t attempts_in_flight() const { return attempts_.size(); }

 private:
  struct ActiveRequest {
    Handle client = 0;
    ClientRequestPtr request;
    double deadline = 0;
    double objective_at = 0;      // latency objective; at most `deadline`
    std::vector<Handle> attempts; // by attempt number; 0: ended or never started
    Handle streaming_attempt = 0; // the attempt whose response has started
    bool may_have_run = false;    // an attempt that has ended may have been executed
    std::uint32_t attempts_started = 0;
    double first_sent_at = 0; // of the first attempt that may have run or is in flight
    std::size_t attempts_in_flight = 0;
    bool finished = false; // has its final response, or its client has disconnected
    loop::TimerQueue::TimerId deadline_timer = 0;
  };
  struct Attempt {
    Handle request = 0;
    std::uint32_t number = 0;
    fernward::ServerId server = 0;
    double sent_at = 0;
    double deadline = 0;
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
  void cancel_attempt(Handle attempt_id, fernward::AttemptResult result);
  void complete_attempt(Handle attempt_id, AttemptCompletion completion);
  bool is_streaming(const ActiveRequest& active_request, std::size_t number) const;
  // `already_started`: the attempt in question is counted in attempts_started and attempts_in_flight.
  bool may_send(const ActiveRequest& active_request, double now, bool already_started) const;
  double limit_to_shutdown(double deadline) const;
  void set_attempt_deadline(Attempt& attempt, Handle attempt_id, double deadline);
  Handle client_of_streaming_attempt(Handle attempt_id);
  void resume_reading(Handle request_id);
  void report_outcome(Handle request_id, std::uint32_t number, fernward::ServerId server, double elapsed_ms,
                      fernward::AttemptResult result, std::vector<float> load_report = {},
                      bool on_reused_connection = false, bool first_on_connection = false);
  void give_up(Handle request_id, fernward::GiveUpReason reason, ClientResponse response);
  void finish(Handle request_id, ClientResponse* response, bool complete = false);
  void on_deadline(Handle request_id);
  void remove_if_done(Handle request_id);

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
  std::unordered_set<std::string> active_ids_; // of requests_
  std::size_t unanswered_requests_ = 0;
  double respond_to_all_by_ = 0; // 0: no shutdown is in progress
  std::function<void()> discovery_poll_;
  double discovery_polled_at_ = 0;
  GiveUpCounts give_up_counts_{};
  loop::EventPtr events_ready_;
};

} // namespace fernward::proxy
