// The client side: the listening socket, client connections, GET /ready, and the sending of responses.
// The definitions are split by concern into listener.cpp, requests.cpp, responses.cpp and closing.cpp.
#pragma once

#include <event2/listener.h>

#include <functional>
#include <memory>
#include <optional>

#include "body_buffers/buffer_budget.h"
#include "config/config.h"
#include "descriptors/client_admission.h"
#include "descriptors/descriptor_budget.h"
#include "downstream/codec.h"
#include "figures/figures.h"
#include "http/parser.h"
#include "loop/net.h"
#include "loop/slot_map.h"
#include "loop/timer_queue.h"
#include "proxy/client_request.h"
#include "proxy/downstream_connections.h"

namespace fernward::downstream {

struct ListenerOptions {
  std::string address;     // IPv4 address and port, or "unix:PATH"
  int listening = -1;      // an inherited listening descriptor to use; below 0: none
  bool share_port = false; // another process of this router may listen on the same port
  descriptors::ClientAdmissionOptions clients;
  // A request with a body up to this size is forwarded once it is complete. Longer bodies are streamed, see
  // proxy/request_body.h.
  std::size_t short_body = 64 * 1024;
  int unsent_bytes = 64 * 1024; // per connection: unsent response bytes that the kernel accepts
  double idle_ms = 120000;      // between requests
  // For a head to arrive completely; for the first one, counted from the start of the connection.
  double request_ms = 2600;
  // For a short body, counted from the head on, in addition to its transmission time at
  // min_body_bytes_per_ms.
  double body_ms = 1000;
  double body_rate = 48;
  double write_ms = 5000;      // without the client reading any of a response
  double linger_ms = 500;      // for the client to read the last response and close
  double shed_retry_ms = 1000; // Retry-After of responses sent because a limit was reached
};

// Callbacks from the listener to the router.
struct ListenerCalls {
  // Returns the handle of the active request. 0: too many requests, or no endpoint list yet.
  std::function<loop::Handle(loop::Handle client, proxy::ClientRequest)> open;
  // Whether a client waits for a response to a request with this id.
  std::function<bool(const std::string& id)> is_open;
  // The last byte of the body arrived after open_request().
  std::function<void(loop::Handle exchange)> whole;
  std::function<void(loop::Handle exchange)> gone;
  std::function<bool()> ready;
  // The last connection was closed after the listener had stopped.
  std::function<void()> emptied;
  // Closes a free upstream connection to release its descriptor. False: none is free.
  std::function<bool()> recall;
  // The client has read part of a streamed response, and more can be written.
  std::function<void(loop::Handle exchange)> drained;
};

// Accepts client connections, decodes their requests, and sends the responses. Owned by the router.
//
// States of a connection:
//   Reading   -> Waiting (a request was forwarded), Closing (an error response), or Lingering (idle timeout)
//   Waiting   -> Streaming (a response is streamed), Reading or Closing (a complete response)
//   Streaming -> Reading or Closing (the response is complete)
//   Closing   -> Lingering, once the last response has been sent
//   Lingering: shut down for sending; input is discarded until the client closes
// A connection can be closed in any state, which destroys it.
class Listener : public proxy::DownstreamConnections {
 public:
  // Throws std::runtime_error if it cannot listen on the address. All references must outlive the listener.
  Listener(event_base* base, loop::TimerQueue& deadlines, descriptors::DescriptorBudget& account,
           descriptors::RequestBufferBudget& buffers, body_buffers::BufferBudget& bytes,
           proxy::BodyStores& bodies, figures::Figures& figures, const ListenerOptions& options, Rules rules,
           ListenerCalls calls);
  ~Listener() override;

  // Validates requests against `rules` from now on. No class may have been removed.
  void change(Rules rules);

  void send_response(loop::Handle client, proxy::ClientResponse answer) override;
  bool is_connected(loop::Handle client) override;
  bool start_response(loop::Handle client, proxy::ResponseHead opening) override;
  std::size_t writable_bytes(loop::Handle client) override;
  void write(loop::Handle client, std::string_view bytes, loop::IoBuffer& block) override;
  bool splice_from(loop::Handle client, int socket, std::size_t most, loop::IoBuffer& block,
                   loop::Received& received, std::size_t& bytes) override;
  void end_response(loop::Handle client, bool whole) override;
  // Closes the connection that is the best candidate for eviction, with `close_code` in the log. False: none
  // can be closed.
  bool let_go(const char* code);

  // Graceful shutdown has begun: /ready answers 503, and new requests must be answered before `deadline`.
  void ends_by(double by) { ends_by_ = by; }
  void stop_accepting(); // accepts the pending connections, then closes the listening socket
  void drain();          // from now on each response announces the end of its connection
  void stop();           // like stop_accepting(), and also closes idle connections

  // ---- hot restart ----
  // The listening descriptor; below 0: the listener has stopped.
  int listening() const;
  // While held, accepts nothing: new connections stay in the kernel's queue, for the process that shares the
  // socket.
  void hold(bool held);
  // From now on nothing is accepted, and each connection is passed to the new process as soon as it is idle.
  // `pass_connection` takes the descriptor. If it returns false, the descriptor remains the caller's: the
  // connection stays here, and ends with its next response once cancel_handover() was called.
  using Pass = std::function<bool(int fd, unsigned requests)>;
  void hand_over(Pass pass);
  // The new process is gone: the remaining connections stay here and end with their next response.
  void pass_no_more();
  // Takes a connection passed by the old process, on which `request_count` requests were served. False: no
  // descriptor was available, and the connection was closed.
  bool adopt(int fd, unsigned requests);

  int port() const; // 0 for a Unix socket
  std::size_t connections() const { return connections_.size(); }

 private:
  static constexpr std::size_t kMostInput = 16 * 1024; // of input buffered ahead of the current request

  struct Connection {
    Connection(descriptors::RequestBufferBudget& buffers, body_buffers::BufferBudget& bytes,
               std::uint64_t most_body)
        : request(buffers), out(bytes), parser(http::Kind::Request, most_body) {}
    Listener* listener = nullptr;
    loop::Handle self = 0;
    descriptors::DescriptorBudget::Lease place;
    descriptors::RequestBufferBudget::Lease request; // bytes of an incomplete request
    body_buffers::BufferBudget::Reservation out;     // response bytes in the output buffer
    loop::BuffereventPtr io;
    http::Parser parser;
    std::shared_ptr<proxy::RequestBody> inflow; // a long body that is arriving; else null
    std::optional<proxy::ClientRequest> call;   // its request, until it is forwarded
    figures::Figures::Taken taken_request;      // until the final response
    double begun_at = 0;                        // when that body started to arrive
    enum class State { Reading, Waiting, Passing, Closing, Lingering } state = State::Reading;
    loop::Handle exchange = 0;                     // in Waiting and Streaming; else 0
    http::Framing framing = http::Framing::Length; // of a streamed response
    bool old = false;                              // version of the request
    bool stays = true;                             // keep the connection after a streamed response
    // Body bytes of a streamed response; those that had left the output buffer at the last check.
    std::uint64_t passed = 0, taken = 0;
    double taken_at = 0;  // when the output buffer was last seen to shrink
    std::size_t left = 0; // bytes of a complete response in the output buffer at the last check
    double head_at = 0;   // when the head of a request with a short body was complete; else 0
    bool keep_alive = true, continued = false, peer_closed = false;
    unsigned requests = 0, pipelined = 0; // pipelined: consecutive ones
    std::size_t drained = 0;              // bytes discarded after the last response
    double opened_at = 0, answered_at = 0;
    loop::TimerQueue::TimerId ticket = 0;
    loop::TimerQueue::TimerId end_check = 0; // polls for the client's disconnect while reading is paused
    const char* code = "";
  };
  struct ListenerFree {
    void operator()(evconnlistener* l) const { evconnlistener_free(l); }
  };

  // ---- listener.cpp: the listening socket and new connections ----
  void listen(); // throws std::runtime_error
  static void accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self);
  static void accept_failed(evconnlistener*, void* self);
  void pause(double ms); // accepts nothing for this time
  void resume();
  // An empty lease if all descriptors are in use and no connection can be evicted.
  descriptors::DescriptorBudget::Lease place_for_connection();
  void accept(int fd);
  Connection& join(int fd, descriptors::DescriptorBudget::Lease place);
  bool may_accept(); // whether a descriptor is available for one more connection

  // ---- requests.cpp: reading requests ----
  static void readable(bufferevent*, void* c);
  static void written(bufferevent*, void* c);
  static void changed(bufferevent*, short what, void* c);
  void read(Connection& c); // processes the input as far as the connection's state permits
  void pause_reading(Connection& c);
  void read_on(Connection& c);
  void look_for_end(Connection& c);
  void go_ahead(Connection& c);                      // answers Expect: 100-continue
  void handle(Connection& c, http::Message request); // a complete request
  Decoded decode(http::Message request);
  bool admit(Connection& c, Decoded& decoded, bool whole); // false: it has been rejected
  void open(Connection& c, proxy::ClientRequest call);     // forwards the request to the router
  void turn_away(Connection& c, int status, const char* text, const char* code);
  void begin_body(Connection& c);
  void read_body(Connection& c);
  void flow(Connection& c); // once the body is complete or may be streamed
  void limit_body(Connection& c);

  // ---- responses.cpp: writing responses ----
  void drop_body(Connection& c);
  bool connection_stays(Connection& c, const char*& code);
  void reply(Connection& c, const std::string& text, bool keep_alive, const char* code);
  void replied(Connection& c, bool keep_alive, const char* code); // sets the state after a response
  void settle_output(Connection& c);                              // returns sent bytes to the buffer budget
  void limit_taking(Connection& c);
  bool client_takes(Connection& c); // it has recently read some of a response
  void flushed(Connection& c);      // the output buffer is empty, or below its watermark

  // ---- closing.cpp: timeouts and the end of connections ----
  bool spareable(loop::Handle handle); // no request is pending on it
  void close_rested();
  void watch_places();
  void linger(Connection& c, const char* code); // shuts down sending, and waits for the client to close
  void connection_event(Connection& c, short what);
  void limit(Connection& c, double ms, const char* code); // closes it with this code
  void limit_rest(Connection& c, double when);            // closes it after idle_timeout_ms
  void close(Connection& c, const char* code);
  bool rests(Connection& c);   // between requests, with empty buffers
  bool pass_on(Connection& c); // to the new process; false: the connection stays here

  event_base* base_;
  loop::TimerQueue& deadlines_;
  descriptors::DescriptorBudget& account_;
  descriptors::RequestBufferBudget& buffers_;
  body_buffers::BufferBudget& bytes_;
  proxy::BodyStores& bodies_;
  figures::Figures& figures_;
  loop::IoBuffer block_;
  descriptors::ClientAdmission clients_;
  ListenerOptions options_;
  Rules rules_;
  ListenerCalls calls_;
  std::uint64_t ids_made_ = 0;
  std::string id_prefix_;
  loop::SlotMap<Connection> connections_;
  loop::Pipe pipe_;
  std::unique_ptr<evconnlistener, ListenerFree> listener_;
  std::string unix_path_; // to be removed at the end; empty: none
  bool draining_ = false, paused_ = false, stopped_ = false, held_ = false;
  double ends_by_ = 0; // 0: no shutdown is in progress
  Pass pass_;          // null: no handover is in progress
  loop::TimerQueue::TimerId resume_ = 0, watch_ = 0;
};

} // namespace fernward::downstream
