// The client connections as the budget sees them: which one to let go when places run out, and which answer
// should end its connection so that they do not run out.
//
// A connection costs a place twice: one of this process's, and one of its client's, as clients hold only so
// many towards a router. One that rests and will not be used again is pure loss, and one that will be used
// again in 50 ms is worth keeping. So the table learns how long clients rest before they come back:
//  - of those that came once, and of those that come often, the share that comes back at all, and how long
//    the slower ones rest before they do;
//  - of each that comes often, its own usual rest.
// An answer ends its connection where the client is not expected back before the place is needed. The time
// until then follows from the places left, the new clients that come and those that leave by themselves.
//
// Letting go follows LRU-2 (O'Neil, O'Neil and Weikum, SIGMOD 1993): who asked twice within a short time goes
// last. It keeps one ordered index; each operation takes O(log n).
//
// Units: milliseconds; `now` only advances. One thread. A connection's number is the caller's, never 0. It
// keeps one record for each connection that the caller has not told to be gone. Calls for unknown numbers do
// nothing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

namespace fernward::descriptors {

// Events per second, of about the last second.
class Rate {
 public:
  void count(double now);
  double per_second(double now) const;

 private:
  double rate_ = 0, at_ = 0;
};

struct ClientAdmissionOptions {
  std::size_t max_clients = 128;       // that clients hold for requests at most, all connections together
  double first_request_grace_ms = 100; // the first request of a new connection may be on its way this long
  double request_stall_ms = 700;       // a request that is not whole may wait so long for its next byte
  double min_idle_ms = 2000;           // one that has rested so long may be closed
};

class ClientAdmission {
 public:
  using Id = std::uint64_t;
  using Options = ClientAdmissionOptions;
  enum class ClosedBy { Client, Router }; // by its client, or for its client's sake; by this router
  explicit ClientAdmission(const Options& options) : options_(options) {}

  // What happens to a connection.
  void on_accepted(double now, Id id); // accepted; it has said nothing yet
  void on_request_active(double now,
                         Id id); // its request is being worked on, or its long body flows: it can't be spared
  void on_request_partial(double now, Id id);  // some more of a request has come, and it is not whole
  void on_request_complete(double now, Id id); // a whole request has come
  void on_idle(double now, Id id);             // the answer is out and the connection stays
  void on_lingering(double now, Id id); // the last answer is out, its client need only read it and close
  void on_closed(double now, Id id, ClosedBy how);

  // Its answer is about to be written: should the connection end with it? True only under pressure. To be
  // asked once for each answer.
  bool should_close_after_response(double now, Id id);

  // The one to let go when a place is needed at once, in this order: those that linger, those that never
  // asked (beyond `fresh_ms`), those whose request does not come on (beyond `stuck_ms` since its last byte), those that
  // came once, longest rest first, those that come often. `may(id)`
  // says whether nothing is due on it after all; after kMostTries that may not go, nobody is spared. Nobody
  // that rests is, while more have just come and said nothing.
  template <typename May>
  std::optional<Id> select_for_eviction(double now, May may) const;

  // Under pressure: one that has rested for `rest_ms` and is not expected back. The caller closes it, or
  // leaves it be for now.
  std::optional<Id> expired_idle(double now) const;
  bool under_pressure() const { return left() < places() / 8; } // overdue() should be asked now and then

  std::size_t size() const { return clients_.size(); }
  std::size_t active() const { return asking_; }      // have asked, and neither linger nor are gone
  double return_share() const { return once_.share; } // of those that came once, as it is believed

 private:
  static constexpr int kMostTries = 16;

  enum class Rank : unsigned char { Lingering, Silent, Begun, Once, Often };
  struct Key {
    Rank rank;
    double
        time; // since when; of a request that has begun: its last byte; of one that comes often: when it asked the
              // last time but one
    Id id;
    auto operator<=>(const Key&) const = default;
  };
  using Index = std::set<Key>;
  struct Client {
    unsigned asked = 0;
    double came_at = 0, rested_at = 0, asked_at = 0, asked_before = 0;
    double log_rest = 0; // its usual rest, as a logarithm
    bool lingers = false, indexed = false, told_to_end = false;
    Index::node_type node; // while it is not in the index: kept, so that a request allocates nothing
    Key key{};
  };

  double places() const { return static_cast<double>(options_.max_clients); }
  double left() const { return places() - static_cast<double>(asking_); }
  double waiting(Rank rank) const { return static_cast<double>(waiting_[static_cast<std::size_t>(rank)]); }
  double full_in(double now, double places) const;
  bool may_end(double now, const Client& c) const;
  void put(Client& c, Rank rank, double time, Id id);
  void take_out(Client& c);
  struct Returns { // what is known of those that rest
    double share;  // of them comes back
    double ms;     // nine in ten of those come back within this time
    void came_back(double rest);
    void stayed_away();
  };

  Options options_;
  std::unordered_map<Id, Client> clients_;
  Index index_;
  std::size_t waiting_[5] = {}; // in the index, by rank
  std::size_t asking_ = 0;
  Rate newcomers_, leavers_;
  Returns once_{0.4, 1000};   // unknown at first: a few are kept to find out
  Returns often_{0.9, 1000};  // they have come back before
  double log_usual_rest_ = 0; // of all that come often
  bool usual_known_ = false;
};

template <typename May>
std::optional<ClientAdmission::Id> ClientAdmission::select_for_eviction(double now, May may) const {
  int tries = kMostTries;
  for (auto it = index_.begin(); it != index_.end() && tries > 0; --tries) {
    // A crowd that has said nothing yet must not push out those that rest: soon it asks or can be spared
    // itself.
    if (it->rank >= Rank::Once &&
        waiting(Rank::Silent) + waiting(Rank::Begun) > waiting(Rank::Once) + waiting(Rank::Often))
      break;
    if (it->rank == Rank::Silent && now - it->time < options_.first_request_grace_ms) {
      it = index_.lower_bound(Key{Rank::Begun, -1, 0}); // all later silent ones are younger still
      ++tries;
      continue;
    }
    if (it->rank == Rank::Begun && now - it->time < options_.request_stall_ms) {
      it = index_.lower_bound(Key{Rank::Once, -1, 0});
      ++tries;
      continue;
    }
    if (may(it->id)) return it->id;
    ++it;
  }
  return std::nullopt;
}

} // namespace fernward::descriptors
