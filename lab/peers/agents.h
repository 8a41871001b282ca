// Discovery as the routers see it: an agent on each router's own machine, which answers at once with what discovery
// has sent it, and says nothing while discovery is down or its machine is cut off. Where the scenario has
// `discovery.congestion`, the calls of all routers are answered by one crowded server instead (answer_queue.h).
//
// What a router counts as told of is recorded when
//  - it has been written to the router in full;
//  - it comes between two calls of one watch (not with congestion: the next call has to wait for its turn);
//  - DiscoverySpec::at_latest_ms has passed since the router could have been told of it, whatever became of its
//    calls: they may have failed, been refused, been given up, fallen silent or still wait for their turn;
//  - DiscoverySpec::reload_at_latest_ms has passed since the SIGHUP that told it of discovery's new address.
// The last two begin anew when discovery comes back from an outage, or the router's machine from a cut: until then it
// could not have been told.
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

class Agents final : private AnswerQueue::Calls {
 public:
  Agents(const Stage& stage, Loop& loop, model::Network& network);
  ~Agents();
  Agents(const Agents&) = delete;
  Agents& operator=(const Agents&) = delete;

  void open();                         // listens; throws std::runtime_error
  void begin();                        // the run has begun
  void apply(const model::Step& step); // that the network has taken note of already
  void change(model::MachineId machine, ServerState state, double started_at, model::Discovery::Why why);

  // A router's process is started now: its list as it had it last, for `known`; it counts as told of it.
  nlohmann::json router_starts(model::RouterId router);
  void router_ended(model::RouterId router);

  // The start of the machine that the router counts as told of; below 0: before the run, or none.
  double told_start(model::RouterId router, model::MachineId machine) const {
    return sides_[router].counted[machine].started_at;
  }

 private:
  using Handle = loop::Handle;
  struct Door {
    Agents* all = nullptr;
    model::RouterId router = 0;
    std::uint32_t moves = 0;
    int fd = -1;
    loop::EventPtr accepts;
  };
  enum class Progress {
    Held,         // it waits for news, or for discovery to come back
    Queued,       // its answer waits to be made, or for its turn to be sent
    NeverAnswered // a long poll that falls silent
  };
  struct Ask {
    std::optional<std::uint64_t> since;
    double until = 0; // wall clock
    Progress progress = Progress::Held;
    model::Discovery::List answer; // that is being sent
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
    loop::TimerQueue::TimerId ticket = 0; // of a watch that waits
  };
  struct Known {
    ServerState state = ServerState::Gone;
    double started_at = -1;
  };
  static constexpr double kNever = std::numeric_limits<double>::infinity();
  struct News { // a version of the list that the router does not count as told of yet
    std::uint64_t index = 0;
    double came_at = 0;
  };
  struct Side { // a router's
    bool runs = false;
    std::vector<Known> had; // written to it
    std::uint64_t had_index = 0;
    std::vector<Known> counted; // that it counts as told of
    std::uint64_t counted_index = 0;
    std::deque<News> news;           // in order
    std::uint64_t news_index = 0;    // the latest that was put there
    std::uint32_t moves = 0;         // it knows discovery's address after this many moves
    double reachable_since = kNever; // discovery, from this router; kNever: it is out of reach
    double reloaded_at = -kNever;    // it was told of another address
    double watch_ended_at = -1e9;    // run time of the last answer to a watch
    model::Engine congestion;        // draws what becomes of its calls
  };

  static void acceptable(int, short, void* door);
  void listen(model::RouterId router, std::uint32_t moves);
  void accept(const Door& door);
  void read(Call& call, std::string_view got);
  void read_call(Call& call);
  bool refuse(Call& call); // false: the call is taken
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
  std::uint32_t moves_ = 0;        // addresses that it has left for another
  std::uint32_t oldest_moves_ = 0; // the oldest of them that still answers
  loop::TimerQueue::TimerId wake_ = 0;
  std::vector<std::unique_ptr<Door>> doors_;
  loop::SlotMap<Call> calls_;
  std::vector<Side> sides_;
  AnswerQueue queue_;
};

} // namespace fernward::rig
