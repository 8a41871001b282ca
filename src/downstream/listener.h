// The client's side: the listening socket, client connections, /ready, and answers on their way out.
// Defined by concern in listener.cpp, requests.cpp, answers.cpp and closing.cpp.
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
  std::string address;     // IPv4, or "unix:PATH"
  int listening = -1;      // a descriptor that listens there already, taken over; below 0: none
  bool share_port = false; // another process of this router may listen there too
  descriptors::ClientAdmissionOptions clients;
  // Up to here it waits until it is whole, see proxy/request_body.h for others.
  std::size_t short_body = 64 * 1024;
  int unsent_bytes =
      64 * 1024;               // of answers, that the kernel takes of each connection beyond what it has sent
  double idle_ms = 120000;     // between requests
  double request_ms = 2600;    // for a head to come whole; the first: from the connection's start on
  double body_ms = 1000;       // for a short body from there on, and what it takes at `body_rate`
  double body_rate = 48;       // bytes a millisecond
  double write_ms = 5000;      // without any of an answer being taken
  double linger_ms = 500;      // for the client to read the last answer and close
  double shed_retry_ms = 1000; // advice where a table is full
};

struct ListenerCalls {
  std::function<loop::Handle(loop::Handle client, proxy::ClientRequest)> open; // 0: no room, or no list yet
  std::function<bool(const std::string& id)> is_open; // some client waits under this id
  std::function<void(loop::Handle exchange)> whole;   // the last byte of a call has come, after open
  std::function<void(loop::Handle exchange)> gone;
  std::function<bool()> ready;
  std::function<void()> emptied; // the last connection has ended after stop()
  std::function<bool()> recall;  // the egress side lets a free connection go; false: it has none
  std::function<void(loop::Handle exchange)> drained; // there is room again for an answer that passes through
};

class Listener : public proxy::DownstreamConnections {
 public:
  // Throws std::runtime_error when the address can't be listened on. The accounts outlive it.
  Listener(event_base* base, loop::TimerQueue& deadlines, descriptors::DescriptorBudget& account,
           descriptors::RequestBufferBudget& buffers, body_buffers::BufferBudget& bytes,
           proxy::BodyStores& bodies, figures::Figures& figures, const ListenerOptions& options, Rules rules,
           ListenerCalls calls);
  ~Listener() override;

  void change(Rules rules); // what comes from now on is held against these; no class has gone

  void send_response(loop::Handle client, proxy::ClientResponse answer) override;
  bool is_connected(loop::Handle client) override;
  bool start_response(loop::Handle client, proxy::ResponseHead opening) override;
  std::size_t writable_bytes(loop::Handle client) override;
  void write(loop::Handle client, std::string_view bytes, loop::IoBuffer& block) override;
  bool splice_from(loop::Handle client, int socket, std::size_t most, loop::IoBuffer& block,
                   loop::Received& received, std::size_t& bytes) override;
  void end_response(loop::Handle client, bool whole) override;
  bool let_go(const char* code); // closes the connection that can best be spared; false: none can

  // The end has begun: /ready says so, and who still asks has until `by` at most.
  void ends_by(double by) { ends_by_ = by; }
  void stop_accepting(); // takes what has come and closes the listening socket
  void drain();          // from now on each answer says that the connection ends with it
  void stop();           // takes what has come, closes the listening socket and what is idle

  // ---- replacing the process ----
  int listening() const; // its descriptor; below 0: it listens no more
  void hold(bool held);  // accepts nothing meanwhile: what comes waits before the door, for whoever shares it
  // From now on each connection is passed on as soon as it rests, and nothing more is accepted. `pass` takes
  // the descriptor; false, with the descriptor still the caller's: it can't be passed, and its next answer
  // ends it.
  using Pass = std::function<bool(int fd, unsigned requests)>;
  void hand_over(Pass pass);
  void pass_no_more();                   // whom it was passed to has gone
  bool adopt(int fd, unsigned requests); // such a connection; false: no room, and it is closed

  int port() const; // 0: a unix socket
  std::size_t connections() const { return connections_.size(); }

 private:
  static constexpr std::size_t kMostInput = 16 * 1024; // read ahead of the request that is worked on

  struct Connection {
    Connection(descriptors::RequestBufferBudget& buffers, body_buffers::BufferBudget& bytes,
               std::uint64_t most_body)
        : request(buffers), out(bytes), parser(http::Kind::Request, most_body) {}
    Listener* listener = nullptr;
    loop::Handle self = 0;
    descriptors::DescriptorBudget::Lease place;
    descriptors::RequestBufferBudget::Lease request; // one that has not come whole
    body_buffers::BufferBudget::Reservation out;     // of answers: what the client has not taken
    loop::BuffereventPtr io;
    http::Parser parser;
    std::shared_ptr<proxy::RequestBody> inflow; // a long body that is coming
    std::optional<proxy::ClientRequest> call;   // its call, until it is whole or flows
    figures::Figures::Taken taken_request;      // until its final answer
    double begun_at = 0;                        // when that body began to come
    enum class State { Reading, Waiting, Passing, Closing, Lingering } state = State::Reading;
    loop::Handle exchange = 0;                     // while waiting, and while its answer passes through
    http::Framing framing = http::Framing::Length; // of that answer
    bool old = false;                              // the request's version is 1.0
    bool stays = true;                             // after that answer
    std::uint64_t passed = 0, taken = 0; // bytes of that answer; and those that the client had taken
    double taken_at = 0;                 // when it was last seen to take some
    std::size_t left = 0;                // of a whole answer, what waited when that was looked at
    double head_at = 0;                  // when the head of a request with a short body had come
    bool keep_alive = true, continued = false, peer_closed = false;
    unsigned requests = 0, pipelined = 0; // pipelined: in a row
    std::size_t drained = 0;              // bytes thrown away since the last answer
    double opened_at = 0, answered_at = 0;
    loop::TimerQueue::TimerId ticket = 0;
    loop::TimerQueue::TimerId end_check = 0; // for the client's end, while nothing is read
    const char* code = "";
  };
  struct ListenerFree {
    void operator()(evconnlistener* l) const { evconnlistener_free(l); }
  };

  // ---- listener.cpp: the listening socket, and connections as they come ----
  void listen(); // throws std::runtime_error
  static void accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self);
  static void accept_failed(evconnlistener*, void* self);
  void pause(double ms); // accepts nothing for so long
  void resume();
  descriptors::DescriptorBudget::Lease
  place_for_connection(); // none: all are taken, and no connection can be spared
  void accept(int fd);
  Connection& join(int fd, descriptors::DescriptorBudget::Lease place); // a connection from its descriptor
  bool may_accept();                                                    // there is a place for one more

  // ---- requests.cpp: what is read ----
  static void readable(bufferevent*, void* c);
  static void written(bufferevent*, void* c);
  static void changed(bufferevent*, short what, void* c);
  void read(Connection& c); // works on what has come, as far as the connection's state lets it
  void pause_reading(Connection& c);
  void read_on(Connection& c);
  void look_for_end(Connection& c);
  void go_ahead(Connection& c);                      // answers Expect: 100-continue
  void handle(Connection& c, http::Message request); // one that has come whole
  Decoded decode(http::Message request);
  bool admit(Connection& c, Decoded& decoded, bool whole); // false: it has been turned away
  void open(Connection& c, proxy::ClientRequest call);     // passes the call on to the router
  void turn_away(Connection& c, int status, const char* text, const char* code);
  void begin_body(Connection& c);
  void read_body(Connection& c);
  void flow(Connection& c); // opens the call as soon as its body may flow
  void limit_body(Connection& c);

  // ---- answers.cpp: what is written ----
  void drop_body(Connection& c);
  bool connection_stays(Connection& c, const char*& code);
  void reply(Connection& c, const std::string& text, bool keep_alive, const char* code);
  void replied(Connection& c, bool keep_alive, const char* code); // sets the state after an answer
  void settle_output(Connection& c); // gives back to the account what the client has taken
  void limit_taking(Connection& c);
  bool client_takes(Connection& c); // it has taken some of a waiting answer lately
  void flushed(Connection& c);      // the output is empty, or below its watermark

  // ---- closing.cpp: connections as they end ----
  bool spareable(loop::Handle handle); // nothing is due on it
  void close_rested();
  void watch_places();
  void linger(Connection& c, const char* code); // shuts it for sending, and waits for the client's end
  void connection_event(Connection& c, short what);
  void limit(Connection& c, double ms, const char* code); // ends it with this code after so long
  void limit_rest(Connection& c, double when);            // ends it once it has been idle for too long
  void close(Connection& c, const char* code);
  bool rests(Connection& c);   // between requests, with nothing read or waiting
  bool pass_on(Connection& c); // to the process that replaces this one; false: it stays

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
  std::string unix_path_; // ours, to be removed at the end; empty: none
  bool draining_ = false, paused_ = false, stopped_ = false, held_ = false;
  double ends_by_ = 0; // 0: no end is known
  Pass pass_;          // null: connections stay here
  loop::TimerQueue::TimerId resume_ = 0, watch_ = 0;
};

} // namespace fernward::downstream
