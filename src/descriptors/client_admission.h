// Decides which client connections to close when descriptors run out, and which to close with a response to
// prevent that. No I/O, no clock.
//
// An idle connection that is not used again only wastes a descriptor, while one used again after 50 ms should
// be kept. So this class estimates which share of idle clients return and after which idle time, separately
// for clients with one request and with several. Eviction is LRU-2 (O'Neil, O'Neil and Weikum, SIGMOD 1993):
// clients that sent two requests within a short time are evicted last.
// Units: milliseconds; `now` only advances. Each operation takes O(log n).
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

namespace fernward::descriptors {

// Events per second, decayed exponentially over one second.
class EventRate {
 public:
  void count(double now);
  double per_second(double now) const;

 private:
  double per_second_ = 0;
  double counted_at_ = 0;
};

struct ClientAdmissionOptions {
  std::size_t max_clients = 128;       // connections that have sent a request
  double first_request_grace_ms = 100; // time that the first request of a new connection may take to arrive
  double request_stall_ms = 700;       // time that a partial request may wait for its next byte
  double min_idle_ms = 2000;           // a connection idle for this long may be closed
};

// States of a connection, in the order of eviction; none while a request is active.
//  - Lingering: the last response was sent, the client only has to read it and close
//  - NoRequest: accepted, has sent no request or only health checks
//  - PartialRequest: some bytes of a request were received
//  - IdleAfterOne: idle after its only request
//  - IdleAfterMany: idle after its second request or a later one
//
// Ids are assigned by the caller and are never 0. Calls for unknown ids do nothing.
class ClientAdmission {
 public:
  using Id = std::uint64_t;
  using Options = ClientAdmissionOptions;
  enum class ClosedBy { Client, Router };

  explicit ClientAdmission(const Options& options) : options_(options) {}

  void on_accepted(double now, Id id);
  // Its request is being processed, or its body is being transferred.
  void on_request_active(double now, Id id);
  // More bytes of a request were received, and it is not complete.
  void on_request_partial(double now, Id id);
  void on_request_complete(double now, Id id);
  // The response was sent and the connection stays open.
  void on_idle(double now, Id id);
  // The last response of the connection was sent.
  void on_lingering(double now, Id id);
  // Use ClosedBy::Client also if the router closes on the client's request.
  void on_closed(double now, Id id, ClosedBy by);

  // Whether the connection should be closed with the response that is about to be written. True only if more
  // than a quarter of max_clients are active and the client is not expected to return in time. Must be called
  // once for each response.
  bool should_close_after_response(double now, Id id);

  // The connection to close when a descriptor is needed at once, in this order: Lingering, NoRequest beyond
  // its grace time, PartialRequest beyond its stall time, IdleAfterOne with the longest idle first,
  // IdleAfterMany. `may_evict(id)` returning false excludes a connection; after kMaxTries exclusions the
  // result is nullopt. No idle connection is selected while more connections are new than idle.
  template <typename MayEvict>
  std::optional<Id> select_for_eviction(double now, MayEvict may_evict) const;

  // A connection idle for min_idle_ms that may be closed: any under pressure; otherwise one of a client with
  // one request, if many of these are idle and few return. The caller may leave it open.
  std::optional<Id> expired_idle(double now) const;
  // Few client slots are free: expired_idle() should be called periodically.
  bool under_pressure() const { return free_client_slots() < max_clients() / 8; }

  std::size_t size() const { return clients_.size(); }
  std::size_t active_clients() const { return active_clients_; } // have sent a request, and are not lingering
  // Estimate for clients with one request.
  double return_share() const { return return_after_one_.return_share; }

 private:
  static constexpr int kMaxTries = 16;

  enum class State : unsigned char { Lingering, NoRequest, PartialRequest, IdleAfterOne, IdleAfterMany };
  static constexpr std::size_t kStateCount = 5;

  struct EvictionKey {
    State state;
    // Start of the state; PartialRequest: time of the last byte; IdleAfterMany: time of the last request but
    // one.
    double time;
    Id id;
    auto operator<=>(const EvictionKey&) const = default;
  };
  using EvictionOrder = std::set<EvictionKey>;

  struct Client {
    unsigned request_count = 0;
    double accepted_at = 0;
    double idle_at = 0;
    double request_at = 0;
    double previous_request_at = 0;
    double mean_log_idle = 0; // mean of log(1 + idle time in ms)
    bool lingering = false;
    bool in_eviction_order = false;
    bool close_announced = false;
    // Retained while not in the eviction order, so that a request does not allocate.
    EvictionOrder::node_type node;
    EvictionKey eviction_key{};
  };

  // Estimate of whether and when idle clients return.
  struct ReturnEstimate {
    double return_share;     // of idle clients
    double return_within_ms; // 90% of the returning clients return within it
    void on_return(double idle_ms);
    void on_no_return();
  };

  double max_clients() const { return static_cast<double>(options_.max_clients); }
  double free_client_slots() const { return max_clients() - static_cast<double>(active_clients_); }
  double count_in_state(State state) const {
    return static_cast<double>(state_counts_[static_cast<std::size_t>(state)]);
  }
  double time_until_full_ms(double now) const;
  bool should_close(double now, const Client& client) const;
  void insert(Client& client, State state, double time, Id id);
  void remove(Client& client);

  Options options_;
  std::unordered_map<Id, Client> clients_;
  EvictionOrder eviction_order_; // in the order of eviction
  std::array<std::size_t, kStateCount> state_counts_{};
  std::size_t active_clients_ = 0;
  EventRate arrival_rate_;
  EventRate departure_rate_;
  ReturnEstimate return_after_one_{0.4, 1000};  // unknown at first: a few are kept to measure it
  ReturnEstimate return_after_many_{0.9, 1000}; // these clients have returned before
  double mean_log_idle_ = 0;                    // the same over all clients with several requests
  bool mean_log_idle_known_ = false;
};

template <typename MayEvict>
std::optional<ClientAdmission::Id> ClientAdmission::select_for_eviction(double now,
                                                                        MayEvict may_evict) const {
  int remaining_tries = kMaxTries;
  for (auto it = eviction_order_.begin(); it != eviction_order_.end() && remaining_tries > 0;
       --remaining_tries) {
    // Many new connections must not displace idle ones: they soon send a request or can be evicted
    // themselves.
    if (it->state >= State::IdleAfterOne &&
        count_in_state(State::NoRequest) + count_in_state(State::PartialRequest) >
            count_in_state(State::IdleAfterOne) + count_in_state(State::IdleAfterMany)) {
      break;
    }
    if (it->state == State::NoRequest && now - it->time < options_.first_request_grace_ms) {
      it = eviction_order_.lower_bound(EvictionKey{State::PartialRequest, -1, 0}); // later entries are newer
      ++remaining_tries;
      continue;
    }
    if (it->state == State::PartialRequest && now - it->time < options_.request_stall_ms) {
      it = eviction_order_.lower_bound(EvictionKey{State::IdleAfterOne, -1, 0});
      ++remaining_tries;
      continue;
    }
    if (may_evict(it->id)) return it->id;
    ++it;
  }
  return std::nullopt;
}

} // namespace fernward::descriptors
