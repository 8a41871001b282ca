// The client side: the listening socket, client connections, GET /ready, and the sending of responses.
// The definitions are split by concern into listener.cpp, requests.cpp, responses.cpp and closing.cpp.
#pragma once

#include <event2/listener.h>

#include <functional>
#include <memory>
#include <optional>

#include "body_buffers/buffer_budget.h"
#include "body_buffers/receive_clock.h"
#include "config/config.h"
#include "descriptors/client_admission.h"
#include "descriptors/descriptor_budget.h"
#include "downstream/codec.h"
#include "figures/router_stats.h"
#include "http/parser.h"
#include "loop/net.h"
#include "loop/slot_map.h"
#include "loop/timer_queue.h"
#include "proxy/client_request.h"
#include "proxy/downstream_connections.h"

namespace fernward::downstream {

struct ListenerOptions {
  std::string address;     // IPv4 address and port, or "unix:PATH"
  int inherited_fd = -1;   // an inherited listening descriptor to use; below 0: none
  bool share_port = false; // another process of this router may listen on the same port
  descriptors::ClientAdmissionOptions admission;
  // A request with a body up to this size is forwarded once it is complete. Longer bodies are streamed, see
  // proxy/request_body.h.
  std::size_t max_short_body_bytes = 64 * 1024;
  int max_unsent_bytes = 64 * 1024; // per connection: unsent response bytes that the kernel accepts
  double idle_timeout_ms = 120000;  // between requests
  // For a head to arrive completely; for the first one, counted from the start of the connection.
  double request_timeout_ms = 2600;
  // For a short body, counted from the head on, in addition to its transmission time at
  // min_body_bytes_per_ms.
  double short_body_timeout_ms = 1000;
  double min_body_bytes_per_ms = 48;
  double write_timeout_ms = 5000;    // without the client reading any of a response
  double linger_timeout_ms = 500;    // for the client to read the last response and close
  double shed_retry_after_ms = 1000; // Retry-After of responses sent because a limit was reached
};

// Callbacks from the listener to the router.
struct ListenerCallbacks {
  // Returns the handle of the active request. 0: too many requests, or no endpoint list yet.
  std::function<loop::Handle(loop::Handle client, proxy::ClientRequest)> open_request;
  // Whether a request with this id is active: its client waits for a response, or an attempt is in flight.
  std::function<bool(const std::string& id)> is_active_id;
  // After open_request(): ClientRequest::received_at_ms has changed, because the body is complete or because
  // reading it was delayed or resumed.
  std::function<void(loop::Handle active_request, double received_at_ms)> received_at_changed;
  std::function<void(loop::Handle active_request)> client_disconnected;
  std::function<bool()> is_ready;
  // The last connection was closed after the listener had stopped.
  std::function<void()> all_connections_closed;
  // Closes a free upstream connection to release its descriptor. False: none is free.
  std::function<bool()> evict_upstream_connection;
  // The client has read part of a streamed response, and more can be written.
  std::function<void(loop::Handle active_request)> response_drained;
};

// Accepts client connections, decodes their requests, and sends the responses. Owned by the router. Times
// are on the loop::now_ms() clock.
//
// States of a connection:
//   Reading   -> Waiting (a request was forwarded), Closing (an error response), or Lingering (idle timeout)
//   Waiting   -> Streaming (a response is streamed), Reading or Closing (a complete response)
//   Streaming -> Reading or Closing (the response is complete)
//   Closing   -> Lingering, once the last response has been sent
//   Lingering: shut down for sending; input is discarded until the client closes
// A connection can be closed in any state, which destroys the Connection object.
class Listener : public proxy::DownstreamConnections {
 public:
  // Throws std::runtime_error if it cannot listen on the address. All references must outlive the listener.
  Listener(event_base* base, loop::TimerQueue& timers, descriptors::DescriptorBudget& descriptor_budget,
           memory_budget::MemoryBudget& memory_budget, descriptors::RequestBufferBudget& request_buffers,
           body_buffers::BufferBudget& buffer_budget, proxy::BodyStores& body_stores,
           figures::RouterStats& stats, const ListenerOptions& options, RequestRules rules,
           ListenerCallbacks callbacks);
  ~Listener() override;

  // Validates requests against `rules` from now on. No class may have been removed.
  void update_rules(RequestRules rules);

  void send_response(loop::Handle client, proxy::ClientResponse response) override;
  bool is_connected(loop::Handle client) override;
  bool start_response(loop::Handle client, proxy::ResponseHead response_head) override;
  std::size_t writable_bytes(loop::Handle client) override;
  void write(loop::Handle client, std::string_view bytes) override;
  bool splice_from(loop::Handle client, int socket, std::size_t max_bytes, loop::IoBuffer& io_buffer,
                   loop::ReceiveResult& received, std::size_t& bytes) override;
  void end_response(loop::Handle client, bool complete) override;
  // Closes the connection that is the best candidate for eviction, with `close_code` in the log. False: none
  // can be closed.
  bool evict_connection(const char* close_code);
  // Memory is over its budget by `excess_bytes`: closes connections whose clients read nothing of a response for
  // half of write_timeout_ms, those with most unsent bytes first, until as much is freed or none is left.
  void close_stalled(std::size_t excess_bytes);

  // Graceful shutdown has begun: /ready answers 503.
  void set_not_ready() { not_ready_ = true; }
  void stop_accepting(); // accepts the pending connections, then closes the listening socket
  void drain();          // from now on each response announces the end of its connection
  // Whether a response is streamed, or is in an output buffer.
  bool is_transmitting();
  void stop(); // like stop_accepting(), and also closes idle connections

  // ---- hot restart ----
  // The listening descriptor; below 0: the listener has stopped.
  int listening_fd() const;
  // While held, accepts nothing: new connections stay in the kernel's queue, for the process that shares the
  // socket.
  void hold_accepting(bool hold);
  // From now on nothing is accepted, and each connection is passed to the new process as soon as it is idle.
  // `pass_connection` takes the descriptor. If it returns false, the descriptor remains the caller's: the
  // connection stays here, and ends with its next response once cancel_handover() was called.
  using PassConnection = std::function<bool(int fd, unsigned requests)>;
  void hand_over(PassConnection pass_connection);
  // The new process is gone: the remaining connections stay here and end with their next response.
  void cancel_handover();
  // Takes a connection passed by the old process, on which `request_count` requests were served. False: no
  // descriptor was available, and the connection was closed.
  bool adopt(int fd, unsigned request_count);

  int port() const; // 0 for a Unix socket
  std::size_t connection_count() const { return connections_.size(); }

 private:
  // Limit of the input buffered ahead of the current request.
  static constexpr std::size_t kMaxReadAheadBytes = loop::kMaxInputBytes;

  struct Connection {
    Connection(descriptors::RequestBufferBudget& request_buffers, body_buffers::BufferBudget& buffer_budget,
               std::uint64_t max_body_bytes)
        : request_buffer(request_buffers),
          unsent_response(buffer_budget),
          parser(http::MessageKind::Request, max_body_bytes) {}
    Listener* listener = nullptr;
    loop::Handle handle = 0;
    descriptors::DescriptorBudget::Lease descriptor;
    descriptors::RequestBufferBudget::Lease request_buffer;  // bytes of an incomplete request
    body_buffers::BufferBudget::Reservation unsent_response; // response bytes in the output buffer
    loop::BuffereventPtr socket;
    http::Parser parser;
    std::shared_ptr<proxy::RequestBody> streamed_body;       // a long body that is arriving; else null
    std::optional<proxy::ClientRequest> pending_request;     // its request, until it is forwarded
    figures::RouterStats::RequestTracker request_statistics; // until the final response
    body_buffers::ReceiveClock receive_clock;
    // When streamed_body started to arrive; later by the time for which the router has delayed reading it.
    double body_started_at_ms = 0;
    // When streamed_body is expected to be complete at the latest, as long as reading is not delayed.
    double body_expected_at_ms = 0;
    enum class State { Reading, Waiting, Streaming, Closing, Lingering } state = State::Reading;
    loop::Handle active_request = 0;               // in Waiting and Streaming; else 0
    http::Framing framing = http::Framing::Length; // of a streamed response
    bool is_http_1_0 = false;                      // version of the request
    bool keep_alive_after_response = true;         // keep the connection after a streamed response
    // Body bytes of a streamed response; those that had left the output buffer at the last check.
    std::uint64_t streamed_bytes = 0, sent_bytes = 0;
    double last_sent_at_ms = 0;         // when the output buffer was last seen to shrink
    std::size_t last_pending_bytes = 0; // bytes of a complete response in the output buffer at the last check
    double head_received_at_ms = 0;     // when the head of a request with a short body was complete; else 0
    double weight_share = 0;            // of its class, see weight_share_of(); 0: its head is incomplete
    bool keep_alive = true, continue_sent = false, peer_closed = false;
    unsigned request_count = 0, pipelined_requests = 0; // pipelined: consecutive ones
    std::size_t discarded_bytes = 0;                    // bytes discarded after the last response
    double opened_at_ms = 0, responded_at_ms = 0;
    loop::TimerQueue::TimerId timer = 0;
    // Polls for the client's disconnect while reading is paused.
    loop::TimerQueue::TimerId end_check_timer = 0;
    const char* close_code = "";
    std::string last_request_id; // for the log; empty: no valid request was received
  };
  struct ListenerFree {
    void operator()(evconnlistener* l) const { evconnlistener_free(l); }
  };

  // ---- listener.cpp: the listening socket and new connections ----
  void listen(); // throws std::runtime_error
  static void on_accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self);
  static void on_accept_failed(evconnlistener*, void* self);
  void pause_accepting(double pause_ms); // accepts nothing for this time
  void resume_accepting();
  // An empty lease if all descriptors are in use and no connection can be evicted.
  descriptors::DescriptorBudget::Lease reserve_descriptor();
  void accept_connection(int fd);
  Connection& add_connection(int fd, descriptors::DescriptorBudget::Lease descriptor);
  bool can_accept(); // whether a descriptor and memory are available for one more connection
  bool is_stalled(Connection& connection);

  // ---- requests.cpp: reading requests ----
  static void on_readable(bufferevent*, void* context);
  static void on_writable(bufferevent*, void* context);
  static void on_event(bufferevent*, short events, void* context);
  void read_input(Connection& connection); // processes the input as far as the connection's state permits
  void pause_reading(Connection& connection);
  void resume_reading(Connection& connection);
  void schedule_end_check(Connection& connection);
  void send_continue(Connection& connection); // answers Expect: 100-continue
  // A complete request.
  void handle_request(Connection& connection, http::Message request, double received_at_ms);
  DecodedRequest decode(http::Message request);
  bool admit(Connection& connection, DecodedRequest& decoded, bool complete); // false: it has been rejected
  // Forwards the request to the router.
  void open_request(Connection& connection, proxy::ClientRequest request);
  void shed(Connection& connection, const char* close_code);
  // Writes the log line of a request that is refused for memory. `bytes`: of the request, as far as received.
  void log_refusal(std::string_view request_id, const char* what, std::size_t bytes);
  void reject(Connection& connection, int status, const char* text, const char* close_code);
  // The weight of a class relative to the greatest one, from 0 to 1; 0 for an unknown name.
  double weight_share_of(std::size_t class_index) const;
  double weight_share_of(std::string_view class_name) const;
  Connection& lightest_incomplete(Connection& asking);
  bool reserve_body_memory(proxy::ClientRequest& request);
  void start_streamed_body(Connection& connection);
  void read_streamed_body(Connection& connection);
  void forward_request(Connection& connection); // once the body is complete or may be streamed
  std::string_view read_body_directly(Connection& connection, std::size_t max_bytes, bool& all_read);
  static bool has_unread_bytes(const Connection& connection);
  // Notes since when bytes of the client are unread, or that all are read.
  void update_receive_clock(Connection& connection);
  void update_receive_clock(Connection& connection, bool unread);
  double body_due_at_ms(const Connection& connection) const;
  void start_body_timeout(Connection& connection);

  // ---- responses.cpp: writing responses ----
  void abort_body(Connection& connection);
  bool decide_keep_alive(Connection& connection, const char*& close_code);
  void send_short_response(Connection& connection, const std::string& text, bool keep_alive,
                           const char* close_code);
  // Sets the state after a response.
  void on_response_written(Connection& connection, bool keep_alive, const char* close_code);
  void release_sent_bytes(Connection& connection); // returns sent bytes to the buffer budget
  void start_write_timeout(Connection& connection);
  bool client_is_reading(Connection& connection); // it has recently read some of a response
  void on_output_drained(Connection& connection); // the output buffer is empty, or below its watermark

  // ---- closing.cpp: timeouts and the end of connections ----
  bool can_evict(loop::Handle handle); // no request is pending on it
  void close_expired_idle();
  void watch_descriptor_pressure();
  // Shuts down sending, and waits for the client to close.
  void start_lingering(Connection& connection, const char* close_code);
  void on_connection_event(Connection& connection, short events);
  // Ends the connection after this time, with `close_code` in the log. A client that makes progress gets
  // more time, and one with a partial request a 408.
  void start_timeout(Connection& connection, double timeout_ms, const char* close_code);
  void start_idle_timeout(Connection& connection, double check_at_ms); // ends it after idle_timeout_ms
  void close(Connection& connection, const char* close_code);
  bool is_idle(Connection& connection);             // between requests, with empty buffers
  bool try_pass_connection(Connection& connection); // to the new process; false: the connection stays here

  event_base* base_;
  loop::TimerQueue& timers_;
  descriptors::DescriptorBudget& descriptor_budget_;
  memory_budget::MemoryBudget& memory_budget_;
  descriptors::RequestBufferBudget& request_buffers_;
  body_buffers::BufferBudget& buffer_budget_;
  proxy::BodyStores& body_stores_;
  figures::RouterStats& stats_;
  loop::IoBuffer io_buffer_;
  descriptors::ClientAdmission admission_;
  ListenerOptions options_;
  RequestRules rules_;
  ListenerCallbacks callbacks_;
  std::uint64_t generated_ids_ = 0;
  std::string id_prefix_;
  loop::SlotMap<Connection> connections_;
  loop::Pipe pipe_;
  std::unique_ptr<evconnlistener, ListenerFree> listener_;
  std::string unix_path_; // to be removed at the end; empty: none
  bool draining_ = false, accepting_paused_ = false, stopped_ = false, accepting_held_ = false;
  bool not_ready_ = false;         // a graceful shutdown is in progress
  PassConnection pass_connection_; // null: no handover is in progress
  loop::TimerQueue::TimerId resume_timer_ = 0, pressure_timer_ = 0;
};

} // namespace fernward::downstream
