// Several processes of the program with `serve --fleet` and real datagrams, over a simulated network that
// partitions, loses and duplicates them. The origin counts the concurrent attempts of all routers, to check
// their total limit during faults.
#include <doctest/doctest.h>
#include <sys/socket.h>

#include <cmath>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <sstream>

#include "caller.h"
#include "program.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

constexpr std::size_t kRouters = 4;
constexpr int kPeriodMs = 50;

sockaddr_in loopback(int port) {
  sockaddr_in where{};
  where.sin_family = AF_INET;
  where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  where.sin_port = htons(static_cast<std::uint16_t>(port));
  return where;
}
std::string text_of(int port) { return "127.0.0.1:" + std::to_string(port); }

// A datagram socket in the event loop.
struct Port {
  Port(event_base* base, std::function<void(const std::string&)> got) : take(std::move(got)) {
    fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in where = loopback(0);
    REQUIRE(bind(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0);
    socklen_t size = sizeof where;
    getsockname(fd, reinterpret_cast<sockaddr*>(&where), &size);
    number = ntohs(where.sin_port);
    if (!take) return;
    reads.reset(event_new(
        base, fd, EV_READ | EV_PERSIST,
        [](int from, short, void* self) {
          char bytes[512];
          for (ssize_t n; (n = recv(from, bytes, sizeof bytes, 0)) >= 0;)
            static_cast<Port*>(self)->take(std::string(bytes, static_cast<std::size_t>(n)));
        },
        this));
    event_add(reads.get(), nullptr);
  }
  ~Port() { close(fd); }
  std::function<void(const std::string&)> take;
  int fd, number = 0;
  loop::EventPtr reads;
};

// The network: one port per pair of routers, as listed in `peers`.
struct Net {
  explicit Net(event_base* base) {
    for (std::size_t i = 0; i < kRouters; ++i) listens.push_back(free_port());
    for (std::size_t i = 0; i < kRouters; ++i) {
      for (std::size_t j = 0; j < kRouters; ++j) {
        ports.push_back(std::make_unique<Port>(base, [this, i, j](const std::string& b) { carry(i, j, b); }));
      }
    }
  }
  void carry(std::size_t from, std::size_t to, const std::string& bytes) {
    ++sent, longest = std::max(longest, bytes.size());
    if (!passes(from, to) || draw(random) < loss) return;
    const sockaddr_in where = loopback(listens[to]);
    for (int copies = draw(random) < twice ? 2 : 1; copies > 0; --copies) {
      sendto(ports[to * kRouters + from]->fd, bytes.data(), bytes.size(), 0,
             reinterpret_cast<const sockaddr*>(&where), sizeof where);
    }
  }
  std::function<bool(std::size_t from, std::size_t to)> passes = [](std::size_t, std::size_t) {
    return true;
  };
  double loss = 0, twice = 0;
  std::size_t sent = 0, longest = 0;
  std::vector<int> listens;
  std::vector<std::unique_ptr<Port>> ports; // by listing router, then by the router it stands for
  std::mt19937 random{7};
  std::uniform_real_distribution<double> draw{0, 1};
};

// An origin whose response time grows with the number of active requests.
class Ledger {
 public:
  explicit Ledger(event_base* base) : base_(base) {
    const sockaddr_in where = loopback(0);
    listener_ = evconnlistener_new_bind(base, &Ledger::accepted, this, LEV_OPT_CLOSE_ON_FREE, 64,
                                        reinterpret_cast<const sockaddr*>(&where), sizeof where);
    sockaddr_in got{};
    socklen_t size = sizeof got;
    getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&got), &size);
    address = text_of(ntohs(got.sin_port));
  }
  ~Ledger() { evconnlistener_free(listener_); }
  std::string address;
  int in_work = 0, most = 0, answered = 0; // `max_active` since it was reset

 private:
  struct Link {
    Ledger* ledger;
    loop::BuffereventPtr io;
    http::Parser parser{http::Kind::Request, kMostBody};
    bool works = false;
    loop::EventPtr timer;
  };
  static void accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
    auto* ledger = static_cast<Ledger*>(self);
    evutil_make_socket_nonblocking(fd);
    Link& l = *ledger->links_.emplace_back(std::make_unique<Link>());
    l.ledger = ledger;
    l.io = loop::make_bufferevent(ledger->base_, fd);
    bufferevent_setcb(
        l.io.get(), [](bufferevent*, void* link) { read(*static_cast<Link*>(link)); }, nullptr,
        [](bufferevent*, short, void* link) { end(*static_cast<Link*>(link)); }, &l);
    bufferevent_enable(l.io.get(), EV_READ | EV_WRITE);
  }
  static void end(Link& l) {
    if (std::exchange(l.works, false)) --l.ledger->in_work;
    l.timer.reset();
    l.io.reset();
  }
  static void read(Link& l) {
    const auto input = loop::pending_input(l.io.get());
    loop::consume_input(l.io.get(), l.parser.feed(input));
    if (!l.parser.done()) return;
    l.parser.take();
    l.works = true;
    Ledger& ledger = *l.ledger;
    ledger.most = std::max(ledger.most, ++ledger.in_work);
    const double ms = 20 * std::max(1.0, ledger.in_work / 8.0);
    l.timer.reset(event_new(
        ledger.base_, -1, 0,
        [](int, short, void* link) {
          Link& done = *static_cast<Link*>(link);
          done.works = false;
          --done.ledger->in_work;
          ++done.ledger->answered;
          const std::string answer = ok("from the ledger");
          bufferevent_write(done.io.get(), answer.data(), answer.size());
        },
        &l));
    const timeval after{0, static_cast<suseconds_t>(ms * 1000)};
    event_add(l.timer.get(), &after);
  }
  event_base* base_;
  evconnlistener* listener_;
  std::deque<std::unique_ptr<Link>> links_;
};

struct Tier {
  // `broken_path`: the address that the first router has for s-1 does not answer.
  // `fleet_file`: the file's text; without it the routers do not gossip.
  explicit Tier(bool bad_line = false,
                const std::optional<std::string>& fleet = "[members]\nperiod = \"" +
                                                          std::to_string(kPeriodMs) +
                                                          "ms\"\n[share]\nfindings = true\n",
                bool direct_ = false)
      : shares(fleet.has_value()), direct(direct_) {
    std::ofstream(folder / "fleet.toml") << fleet.value_or("");
    for (std::size_t i = 0; i < kRouters; ++i) {
      std::vector<std::string> peers;
      for (std::size_t j = 0; j < kRouters; ++j)
        peers.push_back(text_of(net.ports[i * kRouters + j]->number));
      Json c = config_json(
          discovery.address,
          node_list(1, true,
                    {endpoint("s-1", bad_line && i == 0 ? deaf.address : one.address),
                     endpoint("s-2", two.address), endpoint("o-1", ledger.address, "in_service", "origin")}));
      c["name"] = "n" + std::to_string(i);
      c["peer_listen"] = text_of(net.listens[i]);
      if (direct) {
        for (std::size_t j = 0; j < kRouters; ++j) peers[j] = text_of(net.listens[j]);
      }
      c["peers"] = peers;
      c["settings"]["balancers"] = kRouters;
      c["settings"]["me"] = i;
      c["settings"]["classes"][0]["aim"] = 200; // so that the origin is congested long before the full load
      c["settings"]["classes"][0]["give_up"] = 800;
      configs.push_back(c);
      start(i);
    }
    // Discovery does not answer: each router uses its own cached list.
    for (const auto& program : programs)
      REQUIRE(until([&] { return program->says("cached-endpoints-used"); }));
    if (!shares) return;
    REQUIRE(
        until([&] { return all([&](std::size_t i) { return figure(i, "fleet_heard") == kRouters - 1; }); }));
  }
  void start(std::size_t i) {
    controls[i] = free_port();
    configs[i]["control"] = text_of(controls[i]);
    programs[i] = shares ? std::make_unique<Program>(
                               std::vector<std::string>{"serve", "--fleet", folder / "fleet.toml"},
                               configs[i], std::vector<std::string>{})
                         : std::make_unique<Program>(std::vector<std::string>{"serve"}, configs[i]);
    clients.erase(i);
    REQUIRE(until([&] { return programs[i]->port() != 0; }));
  }
  void kill(std::size_t i) {
    programs[i].reset(); // SIGKILL
    clients.erase(i);
  }
  // A statistic of a router; -1: the router does not answer.
  double figure(std::size_t i, const std::string& name) {
    if (programs[i] == nullptr || programs[i]->ended()) return -1;
    Caller caller(base.get(), controls[i], "show-stat\n");
    const double end = loop::now_ms() + 500;
    run_until(base.get(), [&] { return caller.ended || loop::now_ms() > end; });
    const auto at = caller.told.find("router." + name + "=");
    return at == std::string::npos ? -1 : std::stod(caller.told.substr(at + 8 + name.size()));
  }
  bool all(const std::function<bool(std::size_t)>& holds) {
    for (std::size_t i = 0; i < kRouters; ++i) {
      if (programs[i] != nullptr && !holds(i)) return false;
    }
    return true;
  }
  bool counts(std::size_t n, std::vector<std::size_t> those = {0, 1, 2, 3}) {
    for (const std::size_t i : those) {
      if (figure(i, "fleet_living") != static_cast<double>(n)) return false;
    }
    return true;
  }
  // Clients that send the next request after each response: `clients_per_router[i]` at router i. Each key is
  // new, so all requests go to the origin.
  void load() {
    for (std::size_t i = 0; i < kRouters; ++i) {
      if (programs[i] == nullptr || programs[i]->port() == 0) continue;
      auto& mine = clients[i];
      while (mine.size() < each[i]) mine.emplace_back();
      for (Asker& a : mine) {
        if (a.client == nullptr || a.client->closed) {
          a = {std::make_unique<Client>(base.get(), programs[i]->port()), 0, 0};
        }
        if (a.client->answers.size() < a.sent || loop::now_ms() < a.next_at) continue;
        if (a.sent > 0 && a.next_at == 0) {
          const bool well = a.client->answers.back().status == 200;
          served += well;
          if (!well) a.next_at = loop::now_ms() + 50; // as clients do after a rejection
          if (!well) continue;
        }
        a.next_at = 0;
        const std::string id = std::to_string(++asked);
        a.client->send(get("/k/" + id, "q" + id));
        ++a.sent;
      }
    }
  }
  bool until(const std::function<bool()>& done) { // keeps sending load; `done` may read statistics
    const double end = loop::now_ms() + 30000;
    while (!done()) {
      if (loop::now_ms() > end) return false;
      const double next = loop::now_ms() + 20;
      run_until(base.get(), [&] {
        load();
        return loop::now_ms() >= next;
      });
    }
    return true;
  }
  // Waits until all routers see all others alive, and prints how long that took.
  bool whole() {
    const double from = loop::now_ms();
    const bool is = until([&] { return counts(kRouters); });
    MESSAGE("all alive after ms: " << loop::now_ms() - from << ", max active attempts: " << ledger.most);
    return is;
  }
  void run(double ms) {
    const double end = loop::now_ms() + ms;
    until([&] { return loop::now_ms() >= end; });
  }
  double limits() {
    double sum = 0;
    for (std::size_t i = 0; i < kRouters; ++i) sum += std::max(0.0, figure(i, "fleet_limit")) / 1000;
    return sum;
  }
  // The most attempts that all sides of a partition together may have at the origin: the previous total
  // limit, rounded up at each router, plus the growth of limits at routers without congestion.
  int bound(double before) const {
    return static_cast<int>(std::ceil(1.25 * before)) + static_cast<int>(kRouters);
  }

  bool shares, direct; // direct: without the simulated network
  router::BasePtr base = router::make_base();
  Net net{base.get()};
  Ledger ledger{base.get()};
  Peer discovery{base.get(), [](const http::Message&) { return std::string(); }};
  Peer deaf{base.get(), [](const http::Message&) { return std::string(); }};
  bool silent = false; // s-1 does not answer any router
  std::size_t came = 0;
  Peer one{base.get(), [this](const http::Message&) { return ++came, silent ? std::string() : kMiss; }};
  Peer two{base.get(), [](const http::Message&) { return kMiss; }};
  Folder folder;
  std::vector<Json> configs;
  std::vector<std::unique_ptr<Program>> programs{kRouters};
  std::vector<int> controls = std::vector<int>(kRouters);
  std::size_t each[kRouters] = {0, 0, 0, 0};
  struct Asker {
    std::unique_ptr<Client> client;
    std::size_t sent = 0;
    double next_at = 0; // after a rejected request: waits until then
  };
  std::map<std::size_t, std::vector<Asker>> clients;
  std::uint64_t asked = 0, served = 0;
};

void crowd(Tier& t) { // until the limiters have settled
  t.each[0] = 48;
  t.each[1] = t.each[2] = t.each[3] = 16;
  t.run(4000);
}

} // namespace

TEST_CASE(
    "in a partition each side counts its own and the origin gets no more than before and all reconnect") {
  Tier t;
  crowd(t);
  bool one_way = false;
  SUBCASE("both directions between two and two routers") {
    t.net.passes = [](std::size_t a, std::size_t b) { return a / 2 == b / 2; };
  }
  SUBCASE("one direction and nobody receives from the first router") {
    one_way = true;
    t.net.passes = [](std::size_t a, std::size_t) { return a != 0; };
  }
  const double before = t.limits();
  t.ledger.most = 0;
  if (one_way) {
    CHECK(t.until([&] { return t.counts(3, {1, 2, 3}); }));
  } else {
    CHECK(t.until([&] { return t.counts(2); }));
  }
  t.run(2000);
  MESSAGE("limits before: " << before << ", max active at the origin in the partition: " << t.ledger.most);
  CHECK(t.ledger.most <= t.bound(before));
  const std::uint64_t served = t.served;
  t.run(500);
  CHECK(t.served > served);
  t.net.passes = [](std::size_t, std::size_t) { return true; };
  t.ledger.most = 0;
  CHECK(t.whole());
  CHECK(t.ledger.most <= t.bound(before));
  CHECK(t.net.longest <= 256);
}

TEST_CASE("with half of the datagrams lost and some duplicated no live router is declared dead for long") {
  Tier t;
  t.net.loss = 0.5;
  t.net.twice = 0.2;
  crowd(t);
  t.ledger.most = 0;
  const double before = t.limits();
  CHECK(t.until([&] { return t.counts(4); }));
  t.run(1000);
  CHECK(t.ledger.most <= t.bound(before));
  t.net.loss = 0;
  CHECK(t.whole());
}

TEST_CASE("a stopped router is declared dead and declares no other dead when it resumes") {
  Tier t;
  crowd(t);
  const double before = t.limits();
  t.programs[3]->signal(SIGSTOP);
  t.clients.erase(3);
  t.each[3] = 0;
  t.ledger.most = 0;
  CHECK(t.until([&] { return t.counts(3, {0, 1, 2}); }));
  CHECK(t.ledger.most <= t.bound(before));
  t.programs[3]->signal(SIGCONT);
  double least = 4;
  const double woken = loop::now_ms();
  CHECK(t.until([&] {
    least = std::min(least, t.figure(3, "fleet_living"));
    return t.counts(4);
  }));
  MESSAGE("all alive again after ms: " << loop::now_ms() - woken);
  CHECK(least >= 4);
  CHECK(t.ledger.most <= t.bound(before));
}

TEST_CASE("a killed and restarted router has its share of the origin limit after one exchange") {
  Tier t;
  crowd(t);
  t.kill(2);
  CHECK(t.until([&] { return t.counts(3, {0, 1, 3}); }));
  const double before = t.limits();
  t.ledger.most = 0;
  t.each[2] = 0;
  t.start(2);
  CHECK(t.until([&] { return t.figure(2, "fleet_heard") > 0; }));
  CHECK(t.whole());
  const double others = (t.limits() - t.figure(2, "fleet_limit") / 1000) / 3;
  MESSAGE("its limit: " << t.figure(2, "fleet_limit") / 1000 << ", the others' mean: " << others);
  t.each[2] = 16;
  t.run(500);
  CHECK(t.ledger.most <= t.bound(before * 4 / 3));
}

TEST_CASE("in a rolling upgrade and a full restart leaving processes notify others and all see all alive") {
  Tier t;
  t.each[0] = t.each[1] = t.each[2] = t.each[3] = 2;
  t.run(500);
  const double before = t.limits();
  t.ledger.most = 0;
  for (std::size_t i = 0; i < kRouters; ++i) {
    t.programs[i]->signal(SIGTERM);
    std::unique_ptr<Program> old = std::move(t.programs[i]);
    t.clients.erase(i);
    t.start(i); // beside the old one, which still answers its accepted requests
    CHECK(t.whole());
    CHECK(t.until([&] { return old->ended(); }));
    CHECK(old->code == 0);
  }
  for (std::size_t i = 0; i < kRouters; ++i) t.kill(i);
  for (std::size_t i = 0; i < kRouters; ++i) t.start(i);
  const double started = loop::now_ms();
  CHECK(t.until([&] { return t.all([&](std::size_t i) { return t.figure(i, "fleet_heard") == 3; }); }));
  MESSAGE("after a full restart each has reports of all others after ms: " << loop::now_ms() - started);
  CHECK(t.counts(4));
  CHECK(t.ledger.most <= t.bound(before));
}

TEST_CASE(
    "a silent node is ejected by all on the reports of two routers and in a partition only on their side "
    "and recovers") {
  Tier t;
  t.each[0] = t.each[1] = 4; // the others send no requests: they know the node only from reports
  t.run(500);
  const auto out = [&](std::size_t i) { return t.figure(i, "cluster_unhealthy") == 1; };
  t.net.passes = [](std::size_t a, std::size_t b) { return a / 2 == b / 2; };
  t.silent = true;
  const double began = loop::now_ms();
  CHECK(t.until([&] { return out(0) && out(1); }));
  for (int i = 0; i < 10; ++i) {
    t.run(50);
    CHECK_FALSE(out(2));
    CHECK_FALSE(out(3));
  }
  t.net.passes = [](std::size_t, std::size_t) { return true; };
  CHECK(t.until([&] { return out(2) && out(3); }));
  MESSAGE("ejected by all after ms: " << loop::now_ms() - began << ", attempts at the node: " << t.came);
  t.silent = false;
  t.each[2] = t.each[3] = 4;
  CHECK(t.until([&] { return t.all([&](std::size_t i) { return t.figure(i, "cluster_unhealthy") == 0; }); }));
}

TEST_CASE("a router with a broken connection to a node ejects it for itself only") {
  Tier t(true);
  for (auto& each : t.each) each = 4;
  CHECK(t.until([&] { return t.figure(0, "cluster_unhealthy") == 1; }));
  for (int i = 0; i < 10; ++i) {
    const std::size_t came = t.came;
    t.run(150);
    CHECK(t.came > came);
    for (const std::size_t other : {1, 2, 3}) CHECK(t.figure(other, "cluster_unhealthy") == 0);
  }
}

TEST_CASE("datagrams that are too long or damaged or not from a peer are dropped and counted") {
  Tier t;
  Port stranger(t.base.get(), nullptr);
  const sockaddr_in where = loopback(t.net.listens[0]);
  for (int i = 0; i < 5; ++i) {
    sendto(stranger.fd, "hello", 5, 0, reinterpret_cast<const sockaddr*>(&where), sizeof where);
    const std::string longer(300, 'x');
    sendto(t.net.ports[1]->fd, longer.data(), longer.size(), 0, reinterpret_cast<const sockaddr*>(&where),
           sizeof where);
    sendto(t.net.ports[1]->fd, "spoilt", 6, 0, reinterpret_cast<const sockaddr*>(&where), sizeof where);
  }
  CHECK(t.until([&] { return t.programs[0]->says("strangers=10"); }));
  CHECK(t.programs[0]->says("damaged=5"));
  CHECK(t.counts(4));
}

TEST_CASE("a faulty fleet file or a platform file without peers is named and the program does not start") {
  Folder folder;
  const auto refused = [&](const std::string& text, const Json& config, const std::string& why) {
    std::ofstream(folder / "f.toml") << text;
    Program p({"serve", "--fleet", folder / "f.toml"}, config);
    const router::BasePtr base = router::make_base();
    CHECK(run_until(base.get(), [&] { return p.ended(); }));
    CHECK(p.code == 1);
    CHECK_MESSAGE(p.text.find(why) != std::string::npos, p.text);
  };
  Json config = config_json("127.0.0.1:1", nullptr);
  refused("[share]\nledgre = true\n", config, "f.toml:2:1: unknown-key: share.ledgre");
  refused("[members]\nperiod = \"1ms\"\n", config, "members.period: must be from 50 ms to 5 s");
  refused("", config, "peer_listen: is missing");
  config["peer_listen"] = "127.0.0.1:7946";
  config["peers"] = {"127.0.0.1:7950"};
  config["settings"]["me"] = 1;
  refused("", config, "settings.me: is 1, but there are 1 peers");
  config["settings"]["me"] = 0;
  config["settings"]["limits"]["may_tell"] = false;
  refused("", config, "settings.limits.may_tell: is false");
  config["settings"]["limits"]["may_tell"] = true;
  config["peers"] = {"nowhere"};
  refused("", config, "peers[0]: \"nowhere\" is no address");
}

// Measures the cost of gossip, for docs/notes/fleet.md:
//   COST="400ms 15 3" fernward_gossip_transport_tests --no-skip -tc="cost*"
// The values are the period, requests per second and router, pairs, and further lines under [share]. The two
// tiers of a pair run at the same time, as other processes use the machine, too.
TEST_CASE("cost of gossip with both settings at the same time" * doctest::skip()) {
  const char* wanted = std::getenv("COST");
  std::istringstream words(wanted != nullptr ? wanted : "400ms 0 3");
  std::string period, share;
  double rate = 0;
  int pairs = 0;
  words >> period >> rate >> pairs;
  std::getline(words >> std::ws, share); // for example "ledger=false"
  constexpr double kSeconds = 20;
  struct One {
    explicit One(const std::optional<std::string>& fleet) : tier(false, fleet, true) {
      for (const auto& p : tier.programs)
        clients.push_back(std::make_unique<Client>(tier.base.get(), p->port()));
    }
    void ask() {
      const std::string id = std::to_string(++tier.asked);
      const std::size_t i = tier.asked % kRouters;
      if (clients[i]->closed)
        clients[i] = std::make_unique<Client>(tier.base.get(), tier.programs[i]->port());
      clients[i]->send(get("/k/" + id, "q" + id));
    }
    Program::Use use() const {
      Program::Use sum;
      for (const auto& p : tier.programs) {
        const Program::Use u = p->use();
        sum.cpu_ms += u.cpu_ms, sum.wakes += u.wakes;
      }
      return sum;
    }
    Tier tier;
    std::vector<std::unique_ptr<Client>> clients;
  };
  for (int pair = 0; pair < pairs; ++pair) {
    std::unique_ptr<One> both[2] = {
        std::make_unique<One>(std::nullopt),
        std::make_unique<One>("[members]\nperiod = \"" + period + "\"\n[share]\n" + share + "\n")};
    double next = loop::now_ms();
    std::size_t turn = 0;
    const auto run = [&](double ms) {
      for (const double end = loop::now_ms() + ms; loop::now_ms() < end; usleep(300)) {
        ++turn; // the tier that runs second benefits from warm CPU caches
        for (std::size_t i = 0; i < 2; ++i)
          event_base_loop(both[(turn + i) % 2]->tier.base.get(), EVLOOP_NONBLOCK);
        if (rate <= 0 || loop::now_ms() < next) continue;
        next += 1000 / rate / kRouters;
        for (std::size_t i = 0; i < 2; ++i) both[(turn + i) % 2]->ask();
      }
    };
    run(4000);
    const Program::Use began[2] = {both[0]->use(), both[1]->use()};
    run(1000 * kSeconds);
    double cpu[2];
    for (int i = 0; i < 2; ++i) {
      const Program::Use u = both[i]->use();
      const double of = kSeconds * kRouters;
      cpu[i] = (u.cpu_ms - began[i].cpu_ms) / of;
      std::printf("  %-3s %6.3f ms of CPU and %5.1f wakes per second and router\n", i == 0 ? "off" : "on",
                  cpu[i], (u.wakes - began[i].wakes) / of);
    }
    std::printf("%s, %.0f requests per second: +%.3f ms per second, +%.1f%%\n", period.c_str(), rate,
                cpu[1] - cpu[0], 100 * (cpu[1] / cpu[0] - 1));
    std::fflush(stdout);
  }
}
