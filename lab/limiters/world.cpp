#include "world.h"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/normal_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>
#include <deque>
#include <limits>
#include <optional>
#include <pcg_random.hpp>
#include <set>

#include "concurrency/origin_request_queue.h"
#include "concurrency/retry_budget.h"

namespace fernward::limiters {
namespace {

using concurrency::AttemptEnding;

constexpr double kWayMs = 1;    // network round trip, added to the result's way back; attempts arrive at once
constexpr double kTickMs = 100; // a router checks its queue at least this often
constexpr double kReportMs = 150; // least interval between reports of the server's queue length
constexpr double kWriteShare = 0.05;
constexpr unsigned kMostAttempts = 5;
constexpr double kPatience = 4; // multiple of the mean response time after which an attempt is overdue
constexpr double kMostAdviceMs = 1500;

// A separate random stream for each concern, so that one limiter's decisions do not change the other draws.
struct Streams {
  explicit Streams(std::uint64_t seed) : come(seed, 2), work(seed, 3), fault(seed, 4), client(seed, 5) {}
  pcg64 come, work, fault, client;
  static double unit(pcg64& r) { return boost::random::uniform_real_distribution<double>(0, 1)(r); }
};

struct Try { // one request at one router
  std::uint32_t request = 0, router = 0;
  double end_at = 0, gone_at = 0; // the objective has passed; the client has given up
  unsigned attempts = 0, out = 0;
  bool over = false, queued = false;
};
struct Request {
  double first_at = 0, work_ms = 0, hint_ms = 0, worth = 3;
  unsigned tries = 1, done = 0;
  bool write = false, good = false;
};
struct Attempt {
  std::uint32_t id = 0; // index into tries_
  double sent_at = 0;
  bool out = true, silent = false, reset = false, stuck = false;
};

enum class Kind : std::uint8_t {
  Come,
  Again,
  End,
  Stuck,
  Requeue,
  GivenUp,
  Server,
  Back,
  Tick,
  Restart,
  Speed
};
struct Event {
  double at;
  std::uint64_t order;
  Kind kind;
  std::uint32_t a;
  std::uint32_t b;
  bool operator>(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
};

// Facebook's CoDel variant for servers ("Fail at Scale", 2015): last in, first out, and a shorter maximum
// waiting time while the queue has not been empty for some time.
class CoDel {
 public:
  void add(double now, std::uint64_t id, double needed_by) {
    if (waiting_.empty()) empty_at_ = now;
    waiting_.push_back({id, now, needed_by});
  }
  std::optional<std::uint64_t> take(double now) {
    if (waiting_.empty()) return std::nullopt;
    const auto id = waiting_.back().id;
    waiting_.pop_back();
    if (waiting_.empty()) empty_at_ = now;
    return id;
  }
  void leave(double now, double aim_ms, std::vector<std::uint64_t>& ids) {
    const double patience = now - empty_at_ > 0.3 * aim_ms ? 0.05 * aim_ms : 0.3 * aim_ms;
    while (!waiting_.empty() && now - waiting_.front().since > patience) {
      ids.push_back(waiting_.front().id);
      waiting_.pop_front();
    }
    if (waiting_.empty()) empty_at_ = now;
  }
  bool remove(std::uint64_t id) {
    const auto it =
        std::find_if(waiting_.begin(), waiting_.end(), [id](const auto& w) { return w.id == id; });
    if (it == waiting_.end()) return false;
    waiting_.erase(it);
    return true;
  }

 private:
  struct One {
    std::uint64_t id;
    double since, needed_by;
  };
  std::deque<One> waiting_;
  double empty_at_ = 0;
};

struct Router {
  std::unique_ptr<Contender> limiter;
  concurrency::OriginRequestQueue queue;
  CoDel codel;
  concurrency::RetryBudget allowance;
  std::uint32_t out = 0, waits = 0;
  double recent_ms = 0, later = -1;
  bool ticking = false;
};

class World {
 public:
  using Make = std::function<std::unique_ptr<Contender>()>;
  World(const Load& load, std::uint64_t seed, unsigned routers, unsigned gates, const Entry& entry, Make make)
      : load_(load),
        draw_(draw(seed, load, routers)),
        random_(seed),
        server_(draw_.server),
        waiting_(entry.waiting),
        leaves_out_stuck_(entry.leaves_out_stuck),
        hears_queue_(entry.hears_queue),
        make_(std::move(make)),
        routers_(gates) {
    const double mean = draw_.work_ms * (1 + kWriteShare * (draw_.write_work - 1));
    per_ms_ = draw_.server.cores / mean;
    aim_ms_ = load.aim * draw_.work_ms;
    for (Router& r : routers_) r.limiter = make_();
    const auto seconds = static_cast<std::size_t>(load.seconds);
    result_.asked_by_s.resize(seconds);
    result_.good_by_s.resize(seconds);
    for (double s = 0; s < load.seconds; s += 0.5) at(1000 * s, Kind::Speed);
    if (load.restart_at >= 0) at(1000 * load.restart_at, Kind::Restart);
    come_next(0);
  }

  Outcome run() {
    while (!events_.empty()) {
      const Event e = events_.top();
      events_.pop();
      now_ = e.at;
      handle(e);
    }
    result_.held = held_area_ / std::max(1.0, now_) / draw_.server.cores;
    result_.busy = busy_area_ / (1000 * load_.seconds);
    result_.late /= std::max<double>(1, static_cast<double>(requests_.size()));
    result_.attempts /= std::max<double>(1, static_cast<double>(requests_.size()));
    result_.refused /= std::max<double>(1, static_cast<double>(requests_.size()));
    return std::move(result_);
  }

 private:
  void at(double when, Kind kind, std::uint32_t a = 0, std::uint32_t b = 0) {
    events_.push({std::max(when, now_), order_++, kind, a, b});
  }

  void come_next(double from) {
    // Poisson arrivals by thinning, so that load changes take effect at once.
    double when = from;
    constexpr double kMost = 4;
    do {
      when += boost::random::exponential_distribution<double>(kMost * per_ms_)(random_.come);
      if (when >= 1000 * load_.seconds) return;
    } while (Streams::unit(random_.come) * kMost > load_.offered(when / 1000));
    at(when, Kind::Come);
  }

  void handle(const Event& e) {
    switch (e.kind) {
      case Kind::Come: come(); break;
      case Kind::Again: begin(e.a); break;
      case Kind::End:
        if (!tries_[e.a].over) conclude(e.a);
        break;
      case Kind::Stuck: stuck(e.a); break;
      case Kind::Requeue:
        if (!tries_[e.a].over && tries_[e.a].out == 0 && !tries_[e.a].queued) enqueue(e.a);
        break;
      case Kind::GivenUp:
        if (attempts_[e.a].out) ended(e.a, AttemptEnding::TimedOut);
        break;
      case Kind::Server:
        if (e.a == server_version_) serve();
        break;
      case Kind::Back:
        if (attempts_[e.a].out) ended(e.a, static_cast<AttemptEnding>(e.b));
        break;
      case Kind::Tick: tick(e.a); break;
      case Kind::Restart:
        for (Router& r : routers_) r.limiter = make_(), r.allowance = {};
        break;
      case Kind::Speed:
        account();
        server_.speed(now_, load_.speed(now_ / 1000));
        serve();
        break;
    }
  }

  // ---- clients ----

  void come() {
    come_next(now_);
    Request q;
    q.first_at = now_;
    // Expected work varies by a factor of five between requests; the service time varies around it.
    const double part = std::exp(Streams::unit(random_.work) * std::log(5.0)) / (4 / std::log(5.0));
    const double noise =
        draw_.sigma > 0 ? std::exp(boost::random::normal_distribution<double>(0, draw_.sigma)(random_.work) -
                                   draw_.sigma * draw_.sigma / 2)
                        : boost::random::exponential_distribution<double>(1)(random_.work);
    q.write = Streams::unit(random_.work) < kWriteShare;
    q.hint_ms = draw_.work_ms * part * (q.write ? draw_.write_work : 1);
    q.work_ms = q.hint_ms * noise;
    if (!draw_.hints) q.hint_ms = 0;
    q.worth = q.write ? 8 : 3;
    q.tries = 1 + static_cast<unsigned>(draw_.tries + Streams::unit(random_.client));
    const auto second = std::min(result_.asked_by_s.size() - 1, static_cast<std::size_t>(now_ / 1000));
    result_.asked += q.worth;
    result_.asked_by_s[second] += q.worth;
    requests_.push_back(q);
    begin(static_cast<std::uint32_t>(requests_.size() - 1));
  }

  void begin(std::uint32_t request) {
    Request& q = requests_[request];
    ++q.done;
    Try t;
    t.request = request;
    t.router =
        static_cast<std::uint32_t>(Streams::unit(random_.client) * static_cast<double>(routers_.size()));
    t.gone_at = q.first_at + 2 * aim_ms_;
    t.end_at = std::min(t.gone_at, now_ + aim_ms_);
    const auto id = static_cast<std::uint32_t>(tries_.size());
    tries_.push_back(t);
    routers_[t.router].allowance.on_request(now_, 1);
    routers_[t.router].limiter->wanted(now_);
    at(t.end_at, Kind::End, id);
    enqueue(id);
  }

  // The router's final response without a value. The client may retry.
  void conclude(std::uint32_t id) {
    Try& t = tries_[id];
    Router& r = routers_[t.router];
    if (t.queued) unqueue(id);
    t.over = true;
    Request& q = requests_[t.request];
    double wait = draw_.backoff_ms * (draw_.doubling ? std::exp2(q.done - 1) : 1);
    if (Streams::unit(random_.client) < draw_.heed) {
      wait = std::max(wait, std::min(kMostAdviceMs, r.queue.retry_after_ms()));
    }
    if (q.done < q.tries && now_ + wait < q.first_at + 2 * aim_ms_) {
      at(now_ + wait, Kind::Again, t.request);
    } else {
      ++result_.refused;
    }
  }

  // ---- a router ----

  // Little's law: the limit divided by the mean response time.
  static double turns_per_ms(const Router& r) {
    return r.recent_ms > 0 ? r.limiter->limit() / r.recent_ms : 0;
  }

  void enqueue(std::uint32_t id) {
    Try& t = tries_[id];
    Router& r = routers_[t.router];
    const Request& q = requests_[t.request];
    r.queue.set_service_rate(turns_per_ms(r), r.recent_ms);
    if (waiting_ == Waiting::Leave) {
      if (!r.queue.add(now_, id, q.worth, t.end_at, q.write)) return conclude(id);
    } else if (waiting_ == Waiting::CoDel) {
      r.codel.add(now_, id, t.end_at);
    } else {
      at_aim_.insert({t.router, -q.worth, ~std::uint64_t{id}});
    }
    t.queued = true;
    ++r.waits;
    pump(t.router);
    if (!r.ticking && r.waits > 0) r.ticking = true, at(now_ + kTickMs, Kind::Tick, t.router);
  }

  void unqueue(std::uint32_t id) {
    Try& t = tries_[id];
    Router& r = routers_[t.router];
    if (!t.queued) return;
    t.queued = false;
    --r.waits;
    if (waiting_ == Waiting::Leave) {
      r.queue.remove(id);
    } else if (waiting_ == Waiting::CoDel) {
      r.codel.remove(id);
    } else {
      at_aim_.erase({t.router, -requests_[t.request].worth, ~std::uint64_t{id}});
    }
  }

  std::optional<std::uint64_t> take(std::uint32_t router) {
    Router& r = routers_[router];
    const bool read = r.limiter->room(now_, r.out, false);
    const bool write = r.limiter->room(now_, r.out, true);
    if (!read && !write) return std::nullopt;
    if (waiting_ == Waiting::Leave) return r.queue.take(now_, read, write);
    if (waiting_ == Waiting::CoDel) return read ? r.codel.take(now_) : std::nullopt;
    for (auto it = at_aim_.lower_bound({router, -1e9, 0}); it != at_aim_.end() && it->router == router;
         ++it) {
      const auto id = static_cast<std::uint32_t>(~it->turn);
      if (requests_[tries_[id].request].write ? write : read) {
        at_aim_.erase(it);
        return id;
      }
    }
    return std::nullopt;
  }

  void pump(std::uint32_t router) {
    Router& r = routers_[router];
    while (const auto found = take(router)) {
      const auto id = static_cast<std::uint32_t>(*found);
      Try& t = tries_[id];
      t.queued = false;
      --r.waits;
      if (!requests_[t.request].write && t.end_at - now_ < r.recent_ms && waiting_ == Waiting::AtAim) {
        conclude(id);
        continue;
      }
      send(id);
    }
    std::vector<std::uint64_t> late;
    if (waiting_ == Waiting::Leave) {
      r.queue.set_service_rate(turns_per_ms(r), r.recent_ms);
      r.queue.take_expired(now_, late);
    } else if (waiting_ == Waiting::CoDel) {
      r.codel.leave(now_, aim_ms_, late);
    }
    for (const auto id : late) {
      Try& t = tries_[id];
      if (!t.queued) continue;
      t.queued = false;
      --r.waits;
      conclude(static_cast<std::uint32_t>(id));
    }
  }

  void tick(std::uint32_t router) {
    pump(router);
    Router& r = routers_[router];
    r.ticking = r.waits > 0;
    if (r.ticking) at(now_ + kTickMs, Kind::Tick, router);
  }

  void send(std::uint32_t id) {
    Try& t = tries_[id];
    Router& r = routers_[t.router];
    Attempt a;
    a.id = id;
    a.sent_at = now_;
    if (now_ >= 1000 * load_.faults_from) {
      a.silent = Streams::unit(random_.fault) < load_.silent;
      a.reset = Streams::unit(random_.fault) < load_.reset;
    }
    ++t.attempts;
    ++t.out;
    ++r.out;
    ++result_.attempts;
    r.limiter->sent(now_);
    const auto n = static_cast<std::uint32_t>(attempts_.size());
    attempts_.push_back(a);
    at(t.gone_at, Kind::GivenUp, n);
    if (r.recent_ms > 0) at(now_ + kPatience * r.recent_ms, Kind::Stuck, n);
    if (a.silent) return;
    account();
    const auto taken = server_.arrives(now_, n, requests_[t.request].work_ms, t.gone_at);
    if (taken == Server::Taken::TurnedAway)
      at(now_ + kWayMs, Kind::Back, n, static_cast<std::uint32_t>(AttemptEnding::Rejected));
    if (taken == Server::Taken::Down)
      at(now_ + kWayMs, Kind::Back, n, static_cast<std::uint32_t>(AttemptEnding::ConnectFailed));
    result_.peak = std::max(result_.peak, server_.held_per_core());
    std::vector<Server::Job> lost;
    if (server_.falls(now_, lost)) {
      ++result_.falls;
      for (const auto job : lost)
        at(now_ + kWayMs, Kind::Back, static_cast<std::uint32_t>(job),
           static_cast<std::uint32_t>(AttemptEnding::Fault));
    }
    schedule();
  }

  void ended(std::uint32_t n, AttemptEnding ending) {
    Attempt& a = attempts_[n];
    a.out = false;
    Try& t = tries_[a.id];
    Router& r = routers_[t.router];
    --t.out;
    if (!a.stuck || !leaves_out_stuck_) --r.out;
    Request& q = requests_[t.request];
    const double elapsed = now_ - a.sent_at;
    if (ending == AttemptEnding::Answered) {
      if (hears_queue_) r.limiter->reported(now_, told_queue_);
      if (r.recent_ms == 0) r.recent_ms = elapsed;
      r.later = std::max(r.later, a.sent_at);
      smooth(r.recent_ms, elapsed, 0.1);
    }
    r.limiter->ended(now_, {ending, elapsed, q.hint_ms, aim_ms_, q.write, r.out});
    r.allowance.on_attempt_ended(now_, ending == AttemptEnding::Rejected ||
                                           ending == AttemptEnding::ConnectFailed ||
                                           (ending == AttemptEnding::Answered && elapsed > aim_ms_));
    if (ending == AttemptEnding::Answered && now_ > q.first_at + aim_ms_) ++result_.late;
    if (!t.over) next(a.id, ending);
    pump(t.router);
  }

  void next(std::uint32_t id, AttemptEnding ending) {
    Try& t = tries_[id];
    Router& r = routers_[t.router];
    Request& q = requests_[t.request];
    if (ending == AttemptEnding::Answered) {
      t.over = true;
      if (!q.good && now_ <= q.first_at + aim_ms_) {
        q.good = true;
        result_.good += q.worth;
        result_
            .good_by_s[std::min(result_.good_by_s.size() - 1, static_cast<std::size_t>(q.first_at / 1000))] +=
            q.worth;
      }
      return;
    }
    if (t.out > 0 || t.queued) return;
    if (t.attempts >= kMostAttempts || ending == AttemptEnding::TimedOut) return conclude(id);
    if (ending == AttemptEnding::Fault) {
      if (!r.allowance.try_consume(now_, concurrency::RetryBudget::Use::Retry, crowding(r)))
        return conclude(id);
      return enqueue(id);
    }
    at(now_ + std::max(5.0, r.recent_ms) * (0.5 + Streams::unit(random_.client)), Kind::Requeue, id);
  }

  double crowding(const Router& r) const { return r.limiter->crowding(now_, r.out + r.waits); }

  // Checks an overdue attempt. If an attempt sent later has been answered, its connection is assumed stuck. A
  // hedged request may be sent, and limiters with excludes_stuck do not count the stuck attempt as in flight.
  void stuck(std::uint32_t n) {
    Attempt& a = attempts_[n];
    Try& t = tries_[a.id];
    Router& r = routers_[t.router];
    if (!a.out || a.stuck) return;
    if (r.later <= a.sent_at) return at(now_ + std::max(10.0, r.recent_ms), Kind::Stuck, n);
    a.stuck = true;
    if (leaves_out_stuck_) --r.out;
    const bool may = !t.over && t.out == 1 && t.attempts < kMostAttempts && !requests_[t.request].write;
    if (may && r.limiter->room(now_, r.out, false) &&
        r.allowance.try_consume(now_, concurrency::RetryBudget::Use::Hedge, crowding(r))) {
      send(a.id);
    }
    pump(t.router);
  }

  // ---- the server ----

  void account() {
    held_area_ += server_.held() * (now_ - held_at_);
    if (now_ < 1000 * load_.seconds)
      busy_area_ += std::min(1.0, server_.running() / draw_.server.cores) * (now_ - held_at_);
    held_at_ = now_;
  }
  void schedule() {
    const double next = server_.next_end();
    if (next < std::numeric_limits<double>::infinity()) at(next, Kind::Server, ++server_version_);
  }
  void serve() {
    account();
    if (now_ - told_at_ > kReportMs) told_at_ = now_, told_queue_ = server_.waiting();
    std::vector<Server::Job> done, dropped;
    server_.advance(now_, done, dropped);
    for (const auto job : done) {
      const auto n = static_cast<std::uint32_t>(job);
      at(now_ + kWayMs, Kind::Back, n,
         static_cast<std::uint32_t>(attempts_[n].reset ? AttemptEnding::Fault : AttemptEnding::Answered));
    }
    for (const auto job : dropped)
      at(now_ + kWayMs, Kind::Back, static_cast<std::uint32_t>(job),
         static_cast<std::uint32_t>(AttemptEnding::Rejected));
    schedule();
  }

  struct AtAim {
    std::uint32_t router;
    double minus_worth;
    std::uint64_t turn;
    auto operator<=>(const AtAim&) const = default;
  };

  const Load& load_;
  Draw draw_;
  Streams random_;
  Server server_;
  Waiting waiting_;
  bool leaves_out_stuck_, hears_queue_;
  Make make_;
  std::vector<Router> routers_;
  std::set<AtAim> at_aim_;
  std::vector<Request> requests_;
  std::vector<Try> tries_;
  std::vector<Attempt> attempts_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t order_ = 0;
  std::uint32_t server_version_ = 0;
  double told_at_ = 0, told_queue_ = 0;
  double now_ = 0, per_ms_ = 0, aim_ms_ = 0, held_area_ = 0, busy_area_ = 0, held_at_ = 0;
  Outcome result_;
};

} // namespace

Outcome play(const Load& load, std::uint64_t seed, unsigned routers, const Entry& entry) {
  return World(load, seed, routers, routers, entry, [&] { return entry.make(routers); }).run();
}

Outcome play_fixed(const Load& load, std::uint64_t seed, unsigned routers, double limit_per_core) {
  const double limit = std::max(1.0, limit_per_core * draw(seed, load, routers).server.cores);
  const Entry entry{"fixed", "", Waiting::Leave, true, false, {}};
  return World(load, seed, routers, 1, entry, [=] { return fixed(limit); }).run();
}

} // namespace fernward::limiters
