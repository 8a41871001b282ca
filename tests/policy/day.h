// Simulation in virtual time: random requests, one Balancer, and servers that respond according to a script.
#pragma once

#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

#include "fernward/balancer.h"
#include "statistics/numbers.h"

namespace fernward::testing {

struct Reply {
  AttemptResult result = AttemptResult::Ok;
  double after_ms = 20; // kSilent: no response
  bool first = false;   // whether it is the first on its connection
};
constexpr double kSilent = 1e12;

/// Feeds a Balancer with random requests and scripted attempt outcomes, and counts how the requests end.
class Day {
 public:
  using Script = std::function<Reply(ServerId server, double now, Random& random)>;

  Day(const Settings& settings, std::vector<Server> servers, Script script, std::uint64_t seed = 1)
      : settings_(settings), random_{seed * 7919}, script_(std::move(script)), balancer_(settings, seed) {
    on(EndpointList{EndpointListKind::Full, std::move(servers)});
  }

  double now = 1e6;
  std::size_t served = 0, late = 0, failed = 0, refused = 0, sends = 0;
  std::array<std::size_t, static_cast<std::size_t>(GiveUpReason::Count)> why{};
  std::map<ServerId, std::size_t> sent_to;
  std::map<ServerId, std::size_t> most_out;
  double refused_wait_ms = 0; // total time from arrival to rejection

  std::size_t asked() const { return served + late + failed + refused; }
  double share_served() const {
    return asked() == 0 ? 0 : static_cast<double>(served) / static_cast<double>(asked());
  }
  std::size_t refusals(GiveUpReason reason) const { return why[static_cast<std::size_t>(reason)]; }
  void forget_figures() {
    served = late = failed = refused = sends = 0, refused_wait_ms = 0, why = {}, sent_to.clear();
  }

  // Random requests for `ms`, on average `per_s` per second; `writes`: share of writes, 0 to 1.
  void run(double ms, double per_s, double writes = 0, std::uint64_t keys = 500) {
    const double end = now + ms;
    double next = now;
    while (true) {
      next += -std::log(1 - random_.unit()) * 1000 / per_s;
      until(std::min(next, end));
      if (next >= end) return;
      Request r;
      r.id = ++last_id_;
      r.key = 1 + static_cast<std::uint64_t>(random_.unit() * static_cast<double>(keys));
      r.write = random_.unit() < writes;
      r.deadline = now + settings_.classes[0].client_timeout_ms;
      open_[r.id] = {now, now + settings_.classes[0].latency_objective_ms, {}, false};
      on(r);
    }
  }
  void until(double time) {
    while (!queue_.empty() && queue_.begin()->first <= time) {
      now = std::max(now, queue_.begin()->first);
      const auto what = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      what();
    }
    now = time;
  }

 private:
  struct Asked {
    double at, aim;
    std::vector<bool> out;
    bool over;
  };

  void on(const Event& event) {
    std::vector<Action> actions;
    balancer_.on_event(now, event, actions);
    for (const Action& a : actions) carry_out(a);
  }
  void carry_out(const Action& action) {
    if (const auto* send = std::get_if<Send>(&action)) {
      start(*send);
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      queue_.emplace(now + timer->delay_ms, [this, token = timer->token] { on(TimerFired{token}); });
    } else if (const auto* refuse = std::get_if<Reject>(&action)) {
      ++refused, ++why[static_cast<std::size_t>(refuse->reason)];
      refused_wait_ms += now - open_.at(refuse->id).at;
      open_.at(refuse->id).over = true;
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
      ++failed, ++why[static_cast<std::size_t>(fail->reason)];
      open_.at(fail->id).over = true;
    } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
      queue_.emplace(now, [this, c = *cancel] { end(c.id, c.attempt, AttemptResult::Cancelled); });
    }
  }
  void start(const Send& send) {
    Asked& asked = open_.at(send.id);
    const auto attempt = static_cast<std::uint32_t>(asked.out.size());
    asked.out.push_back(true);
    servers_[{send.id, attempt}] = {send.server, now};
    ++sends, ++sent_to[send.server];
    most_out[send.server] = std::max(most_out[send.server], ++out_[send.server]);
    const Reply reply = script_(send.server, now, random_);
    const double limit = asked.at + settings_.classes[0].client_timeout_ms - now;
    queue_.emplace(now + std::min(reply.after_ms, limit), [this, id = send.id, attempt, reply, limit] {
      end(id, attempt, reply.after_ms <= limit ? reply.result : AttemptResult::TimedOut, reply.first);
    });
  }
  void end(RequestId id, std::uint32_t attempt, AttemptResult result, bool first = false) {
    Asked& asked = open_.at(id);
    if (!asked.out[attempt]) return;
    asked.out[attempt] = false;
    const auto [server, sent_at] = servers_.at({id, attempt});
    servers_.erase({id, attempt});
    --out_[server];
    AttemptOutcome e{id, attempt, server, result, now - sent_at, asked.over, {}, false};
    e.first_on_connection = first;
    if (result == AttemptResult::Ok && !asked.over) {
      asked.over = e.request_ended = true;
      ++(now <= asked.aim ? served : late);
    }
    on(e);
  }

  Settings settings_;
  Random random_;
  Script script_;
  Balancer balancer_;
  std::multimap<double, std::function<void()>> queue_;
  std::unordered_map<RequestId, Asked> open_;
  std::map<std::pair<RequestId, std::uint32_t>, std::pair<ServerId, double>> servers_;
  std::map<ServerId, std::size_t> out_;
  RequestId last_id_ = 0;
};

} // namespace fernward::testing
