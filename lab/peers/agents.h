// Discovery as the routers see it: an agent on each router's machine, which responds at once with the latest
// endpoint list that discovery has sent to it, and does not respond while discovery is down or its machine is
// cut off. With `discovery.congestion` in the scenario, one congested server responds to the calls of all
// routers instead (response_queue.h).
//
// A router counts as notified of a change, and the notification is recorded, when
//  - the change has been written to the router completely;
//  - it arrives between two calls of one watch (not with congestion: there the next call has to queue);
//  - DiscoverySpec::at_latest_ms has passed since the router could have been notified, whatever happened to
//    its calls: they may have failed, been rejected, been cancelled, received no response, or still be
//    queued;
//  - DiscoverySpec::reload_at_latest_ms has passed since the SIGHUP after which it reads discovery's new
//    address.
// The last two periods start again when discovery recovers from an outage, or the router's machine from a
// cut: until then the router could not have been notified.
#pragma once

#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "http/parser.h"
#include "lab/peers/answer_queue.h"
#include "lab/shared/loop.h"
#include "lab/shared/stage.h"
#include "lab/shared/stream.h"
#include "loop/slot_map.h"
#include "model/discovery.h"
#include "model/network.h"
#include "model/rng.h"

namespace fernward::rig {

// The discovery agents of all routers. Owned by the simulated fleet, and used on its loop's thread.
class Agents final : private AnswerQueue::Calls {
 public:
  Agents(const Stage& stage, Loop& loop, model::Network& network);
  ~Agents();
  Agents(const Agents&) = delete;
  Agents& operator=(const Agents&) = delete;

  void open();                         // listens; throws std::runtime_error
  void begin();                        // the run has started
  void apply(const model::Step& step); // a step that is already applied to the network
  void change(model::MachineId machine, ServerState state, double started_at, model::Discovery::Why why);

  // A router's process is about to start. Returns the last list that was delivered to it, for the `known` key
  // of its configuration; the router counts as notified of that list.
  nlohmann::json router_starts(model::RouterId router);
  void router_ended(model::RouterId router);

  // The start time of the machine as the router was last notified of it; below 0: before the run, or never
  // notified.
  double told_start(model::RouterId router, model::MachineId machine) const {
    return sides_[router].counted[machine].started_at;
  }

 private:
  using Handle = loop::Handle;
  struct Door { // the listening socket of one router's agent at one of discovery's addresses
    Agents* all = nullptr;
    model::RouterId router = 0;
    std::uint32_t moves = 0;
    int fd = -1;
    loop::EventPtr accepts;
  };
  enum class Progress {
    Held,         // it waits for a change, or for discovery to recover
    Queued,       // its response waits to be made or to be sent
    NeverAnswered // a long poll that never receives a response
  };
  struct Ask {
    std::optional<std::uint64_t> since;
    double until = 0; // wall clock, ms
    Progress progress = Progress::Held;
    model::Discovery::List answer; // the list that is being sent
  };
  struct Call final : Stream::User {
    void bytes(std::string_view got) override { all->read(*this, got); }
    void end(int) override { all->calls_.remove(self); }

    Agents* all = nullptr;
    Handle self = 0;
    model::RouterId router = 0;
    std::uint32_t moves = 0;
    std::unique_ptr<Stream> stream;
    http::Parser parser{http::Kind::Request};
    std::string behind;
    std::optional<Ask> ask;
    loop::TimerQueue::TimerId ticket = 0; // of a waiting watch
  };
  struct Known {
    ServerState state = ServerState::Gone;
    double started_at = -1;
  };
  static constexpr double kNever = std::numeric_limits<double>::infinity();
  struct News { // a version of the list of which the router does not count as notified yet
    std::uint64_t index = 0;
    double came_at = 0;
  };
  struct Side { // state of one router
    bool runs = false;
    std::vector<Known> had; // endpoints as written to it
    std::uint64_t had_index = 0;
    std::vector<Known> counted; // endpoints of which it counts as notified
    std::uint64_t counted_index = 0;
    std::deque<News> news;           // in order of their indexes
    std::uint64_t news_index = 0;    // the latest index added to it
    std::uint32_t moves = 0;         // the discovery address that it uses, as the number of moves so far
    double reachable_since = kNever; // since when the router can reach discovery; kNever: it can't
    double reloaded_at = -kNever;    // when it last read a new discovery address
    double watch_ended_at = -1e9;    // run time of the last response to a watch
    model::Engine congestion;        // random stream for the outcomes of its calls
  };

  static void acceptable(int, short, void* door);
  void listen(model::RouterId router, std::uint32_t moves);
  void accept(const Door& door);
  void read(Call& call, std::string_view got);
  void read_call(Call& call);
  bool refuse(Call& call); // whether the call was failed; false: it is to be served
  void serve(Call& call);
  std::string answer_text(Call& call);
  void answered(Call& call);
  State state(Handle call) override;
  std::optional<std::string> make_answer(Handle call) override;
  void send_piece(Handle call, std::string_view piece, bool is_last) override;
  bool silent(model::RouterId router) const { return down_ || !network_.reachable(router); }
  void reloaded(model::RouterId router);
  void advance();
  void serve_all();
  void spread(model::RouterId router);
  void note_news(model::RouterId router);
  void note_reach(model::RouterId router);
  bool reachable(model::RouterId router) const;
  double counts_at(const Side& side, const News& news) const;
  void sweep();
  void count(model::RouterId router, const model::Discovery::List& list, bool cached, bool deemed);
  void drop_told(Side& side);
  void note(std::vector<Known>& into, const model::Discovery::List& list) const;
  nlohmann::json endpoint(model::RouterId router, const model::Discovery::Entry& entry) const;
  nlohmann::json list_json(model::RouterId router, const model::Discovery::List& list) const;
  double now() const { return loop_.now(); }

  const Stage& stage_;
  Loop& loop_;
  model::Network& network_;
  model::Discovery discovery_;
  bool down_ = false;
  std::uint32_t moves_ = 0;        // number of discovery's moves to another address so far
  std::uint32_t oldest_moves_ = 0; // the oldest address that still responds, as a number of moves
  loop::TimerQueue::TimerId wake_ = 0;
  std::vector<std::unique_ptr<Door>> doors_;
  loop::SlotMap<Call> calls_;
  std::vector<Side> sides_;
  AnswerQueue queue_;
};

} // namespace fernward::rig
