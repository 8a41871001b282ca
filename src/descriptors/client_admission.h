// Which client connections to close when descriptors run out, and which to close with a response so that they
// don't. Decides; no I/O, no clock.
//
// An idle connection that is not used again is pure loss, one used again in 50 ms is worth keeping. So it
// learns what share of idle clients returns and after which idle time, separately for clients with one
// request and with several. Eviction is LRU-2 (O'Neil, O'Neil and Weikum, SIGMOD 1993): who sent two requests
// within a short time goes last.
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
  double rate_ = 0;
  double counted_at_ = 0;
};

struct ClientAdmissionOptions {
  std::size_t max_clients = 128;       // connections that have sent a request
  double first_request_grace_ms = 100; // the first request of a new connection may be on its way this long
  double request_stall_ms = 700;       // a partial request may wait this long for its next byte
  double min_idle_ms = 2000;           // a connection idle for this long may be closed
};

// States of a connection, in the order of eviction; none while a request is active.
//  - Lingering: the last response is out, its client need only read it and close
//  - NoRequest: accepted, or had a health check only
//  - PartialRequest: some bytes of a request are there
//  - IdleAfterOne: idle after its only request
//  - IdleAfterMany: idle after its second request or a later one
//
// Ids are the caller's, never 0. Calls for unknown ids do nothing.
class ClientAdmission {
 public:
  using Id = std::uint64_t;
  using Options = ClientAdmissionOptions;
  enum class ClosedBy { Client, Router };

  explicit ClientAdmission(const Options& options) : options_(options) {}

  void on_accepted(double now, Id id);
  // Its request is being worked on, or its body flows.
  void on_request_active(double now, Id id);
  // More bytes of a request came, and it is not complete.
  void on_request_partial(double now, Id id);
  void on_request_complete(double now, Id id);
  // The response is out and the connection stays.
  void on_idle(double now, Id id);
  // The last response is out.
  void on_lingering(double now, Id id);
  // ClosedBy::Client also where the router closes for the client's sake.
  void on_closed(double now, Id id, ClosedBy by);

  // Should the connection close with the response that is about to be written? True only under pressure. Must
  // be asked once for each response.
  bool should_close_after_response(double now, Id id);

  // The connection to close when a descriptor is needed at once: Lingering, NoRequest beyond its grace,
  // PartialRequest beyond its stall time, IdleAfterOne longest first, IdleAfterMany. `may(id)` vetoes; after
  // kMaxTries vetoes there is none. No idle one, while more connections are new than idle.
  template <typename May>
  std::optional<Id> select_for_eviction(double now, May may) const;

  // Under pressure: one idle for min_idle_ms that is not expected to return. The caller may leave it open.
  std::optional<Id> expired_idle(double now) const;
  // expired_idle() should be asked from time to time.
  bool under_pressure() const { return free_places() < max_clients() / 8; }

  std::size_t size() const { return clients_.size(); }
  std::size_t active() const { return active_; } // have sent a request, and are not lingering
  double return_share() const { return after_one_.return_share; } // of clients with one request, as estimated

 private:
  static constexpr int kMaxTries = 16;

  enum class State : unsigned char { Lingering, NoRequest, PartialRequest, IdleAfterOne, IdleAfterMany };
  static constexpr std::size_t kStates = 5;

  struct Key {
    State state;
    // Since when; PartialRequest: its last byte; IdleAfterMany: the last request but one.
    double time;
    Id id;
    auto operator<=>(const Key&) const = default;
  };
  using Index = std::set<Key>;

  struct Client {
    unsigned requests = 0;
    double accepted_at = 0;
    double idle_at = 0;
    double request_at = 0;
    double previous_request_at = 0;
    double log_idle_ms = 0; // mean
    bool lingering = false;
    bool indexed = false;
    bool told_to_close = false;
    Index::node_type node; // kept while it is not in the index, so that a request allocates nothing
    Key key{};
  };

  // What is known of the returns of idle clients.
  struct ReturnEstimate {
    double return_share; // of idle clients
    double return_ms;    // 90% of those that return do so within it
    void on_return(double idle_ms);
    void on_no_return();
  };

  double max_clients() const { return static_cast<double>(options_.max_clients); }
  double free_places() const { return max_clients() - static_cast<double>(active_); }
  double count(State state) const { return static_cast<double>(counts_[static_cast<std::size_t>(state)]); }
  double time_until_full_ms(double now) const;
  bool may_close(double now, const Client& client) const;
  void insert(Client& client, State state, double time, Id id);
  void remove(Client& client);

  Options options_;
  std::unordered_map<Id, Client> clients_;
  Index index_; // in the order of eviction
  std::array<std::size_t, kStates> counts_{};
  std::size_t active_ = 0;
  EventRate newcomers_;
  EventRate leavers_;
  ReturnEstimate after_one_{0.4, 1000};  // unknown at first: a few are kept to find out
  ReturnEstimate after_many_{0.9, 1000}; // they have returned before
  double log_usual_idle_ms_ = 0;         // mean of all clients with several requests
  bool usual_idle_known_ = false;
};

template <typename May>
std::optional<ClientAdmission::Id> ClientAdmission::select_for_eviction(double now, May may) const {
  int tries = kMaxTries;
  for (auto it = index_.begin(); it != index_.end() && tries > 0; --tries) {
    // Many new connections must not push out idle ones: soon they send a request or can be evicted
    // themselves.
    if (it->state >= State::IdleAfterOne && count(State::NoRequest) + count(State::PartialRequest) >
                                                count(State::IdleAfterOne) + count(State::IdleAfterMany)) {
      break;
    }
    if (it->state == State::NoRequest && now - it->time < options_.first_request_grace_ms) {
      it = index_.lower_bound(Key{State::PartialRequest, -1, 0}); // later ones are younger still
      ++tries;
      continue;
    }
    if (it->state == State::PartialRequest && now - it->time < options_.request_stall_ms) {
      it = index_.lower_bound(Key{State::IdleAfterOne, -1, 0});
      ++tries;
      continue;
    }
    if (may(it->id)) return it->id;
    ++it;
  }
  return std::nullopt;
}

} // namespace fernward::descriptors
