// Connections to the egress targets: a pool for each, one exchange at a time on a connection.
#pragma once

#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "body_buffers/buffer_budget.h"
#include "body_buffers/response_buffering.h"
#include "descriptors/descriptor_budget.h"
#include "endpoints/endpoint_table.h"
#include "figures/figures.h"
#include "http/parser.h"
#include "idle_connections/idle_lifetime_estimator.h"
#include "loop/net.h"
#include "loop/slot_map.h"
#include "loop/timer_queue.h"
#include "proxy/attempt_callbacks.h"
#include "proxy/upstream_connections.h"

namespace fernward::upstream {

struct ConnectionPoolOptions {
  double connect_timeout_ms = 250;
  double idle_ms =
      10000; // an idle connection is closed after this, or sooner where its target is seen to do so
  // Targets of this kind hold too few connections for all routers: one that rests beside another is kept for as long again
  // as its last request took. -1: none.
  std::int64_t scarce_kind = -1;
  std::vector<std::string> report_fields;
  body_buffers::ResponseBufferingLimits answers;
  double silent_ms =
      5000; // a node that gives nothing more of an answer, or takes nothing more of a body, is given up
  int receive_bytes = 0; // that the kernel keeps of each connection; 0: as much as it likes
};

class ConnectionPool : public proxy::UpstreamConnections {
 public:
  using Recall = std::function<bool()>; // the clients' side lets a connection go; false: it can spare none

  // The accounts outlive the pool.
  ConnectionPool(event_base* base, loop::TimerQueue& deadlines, descriptors::DescriptorBudget& account,
                 body_buffers::BufferBudget& bytes, figures::Figures& figures,
                 const ConnectionPoolOptions& options, proxy::AttemptCallbacks& attempts, Recall recall);

  // What the route table holds now; targets that are missing are gone.
  void update(const std::map<fernward::ServerId, endpoints::Endpoint>& targets);
  // One target as it is now, at a cost that does not grow with their number; null: it is gone.
  void update(fernward::ServerId id, const endpoints::Endpoint* now);
  const endpoints::Endpoint* target(fernward::ServerId id) const; // as it was told last; null: there is none

  StartResult start(loop::Handle attempt, fernward::ServerId target, const proxy::ClientRequestPtr& call,
                    double deadline) override;
  ClientPause cancel(loop::Handle attempt) override;
  void resume_reading(loop::Handle attempt) override;
  bool let_go(const char* code); // closes the free connection that has rested longest; false: none is free

  std::size_t connections() const { return connections_.size(); }
  std::size_t pooled_targets() const { return free_.size(); }
  std::uint64_t opened() const { return opened_; }
  std::uint64_t reset_after_rest() const { return reset_after_rest_; } // requests on kept connections
  const idle_connections::IdleLifetimeEstimator& rests() const { return rests_; }

 private:
  struct UpstreamConnection {
    explicit UpstreamConnection(std::uint64_t ceiling) : parser(http::Kind::Response, ceiling) {}
    ConnectionPool* pool = nullptr;
    loop::Handle self = 0;
    descriptors::DescriptorBudget::Place place;
    std::list<loop::Handle> seat; // its entry of `resting_`, while it is not free
    std::list<loop::Handle>::iterator entry;
    fernward::ServerId target = 0;
    std::string name, address; // of the target as it was when this was opened; the name is for the log line
    double booted_at = 0;      // and its start
    loop::BuffereventPtr io;
    http::Parser parser;
    bool up = false;
    loop::Handle attempt = 0; // 0: none, the connection is idle or nobody waits for its coming up
    proxy::ClientRequestPtr call;
    std::unique_ptr<proxy::RequestBody::Reader> upload; // of the call's body, where that is long
    bool sent = true;        // all of the call has been written, or waits in the output
    bool counted = true;     // its last byte has left
    double written_at = 0;   // its head
    std::uint64_t taken = 0; // of a long body, bytes that had left this process when that was looked at
    double taken_at = 0;     // when it was last seen to take some
    double deadline = 0, opened_at = 0, assigned_at = 0, rested_at = 0;
    double rested_ms = -1; // before its present request; below 0: that is its first
    bool trial = false;    // it had rested longer than is believed safe
    bool first = true;     // its present request is the first
    // What becomes of the body that comes: it waits here until it is whole or begins, it is passed on, or it is
    // of no use to anybody.
    enum class Way { Wait, Pass, Skip } way = Way::Wait;
    proxy::BufferedBytes waiting;
    proxy::AttemptCompletion ending; // as the head tells it
    double wait_until = 0;           // no longer than that
    bool stopped = false;            // nothing is read: the client takes nothing
    loop::EventPtr direct; // reads past libevent's buffer, while long stretches of body come; else null
    double stopped_at = 0, paused_ms = 0;
    double given_at = 0; // when some of its body came last, or could be read again
    unsigned served = 0;
    loop::TimerQueue::TimerId ticket =
        0; // connect time-out, silence in the middle of an answer, or idle time
  };

  static void readable(bufferevent*, void* c);
  static void written(bufferevent*, void* c);
  static void changed(bufferevent*, short what, void* c);
  void read(UpstreamConnection& c);
  void event(UpstreamConnection& c, short what);
  void came_up(UpstreamConnection& c);
  void write(UpstreamConnection& c);
  void send_body(UpstreamConnection& c);
  void count_sent(UpstreamConnection& c);
  static bool unsent(const UpstreamConnection& c); // its last byte is still in this process
  bool head_came(UpstreamConnection& c);           // these two: false, the connection is gone
  enum class Taken { More, Whole, Gone };
  Taken take(UpstreamConnection& c, std::string_view& bytes);
  bool step(UpstreamConnection& c);
  void begin(UpstreamConnection& c);
  void limit_silence(UpstreamConnection& c);
  void limit_taking(UpstreamConnection& c);
  void spoilt(UpstreamConnection& c);
  void tell(UpstreamConnection& c, proxy::AttemptCompletion ending);
  std::size_t room(UpstreamConnection& c);
  void read_on(UpstreamConnection& c);
  void read_directly(UpstreamConnection& c, bool directly);
  static void directly(int, short, void* c);
  void answered(UpstreamConnection& c, const char* end); // end: why its connection ends, or null
  void rest(UpstreamConnection& c);                      // into the pool
  void unpool(const UpstreamConnection& c);
  UpstreamConnection* reusable(fernward::ServerId target);
  // Null: `why` it can't be.
  UpstreamConnection* open(const endpoints::Endpoint& target, descriptors::DescriptorBudget::Place place,
                           int fd, StartResult& why);
  descriptors::DescriptorBudget::Place room();
  int open_socket();
  void learn(const UpstreamConnection& c, bool reset);
  void drop_rested(fernward::ServerId target, double now);
  void make_free(UpstreamConnection& c);
  void make_busy(UpstreamConnection& c);
  void assign(UpstreamConnection& c, loop::Handle attempt, const proxy::ClientRequestPtr& call,
              double deadline);
  bool leads_there(const UpstreamConnection& c) const;
  bool in_service(fernward::ServerId target) const;
  void lose(UpstreamConnection& c, fernward::AttemptResult result, const char* code); // ends its attempt too
  void close(UpstreamConnection& c, const char* code);
  void close_free(fernward::ServerId target, const char* code);

  event_base* base_;
  loop::TimerQueue& deadlines_;
  descriptors::DescriptorBudget& account_;
  body_buffers::BufferBudget& bytes_;
  figures::Figures& figures_;
  ConnectionPoolOptions options_;
  proxy::AttemptCallbacks& attempts_;
  Recall recall_;
  std::map<fernward::ServerId, endpoints::Endpoint> targets_;
  loop::SlotMap<UpstreamConnection> connections_;
  std::map<fernward::ServerId, std::vector<loop::Handle>> free_; // no attempt: up or coming up, newest last
  std::list<loop::Handle> resting_;                              // all that are free, the longest in front
  std::unordered_map<loop::Handle, loop::Handle> by_attempt_;
  idle_connections::IdleLifetimeEstimator rests_;
  std::uint64_t opened_ = 0, reset_after_rest_ = 0;
  loop::IoBuffer block_;
};

} // namespace fernward::upstream
