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

#include "control_client.h"
#include "program.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

constexpr std::size_t kRouters = 4;
constexpr int kPeriodMs = 50;
// Under full load the total limit rises and falls by up to a fifth every 0.6 s, as the limiters probe the
// origin: a single value may be one of the lowest.
constexpr double kLimitAveragingMs = 2000;
constexpr double kLimitSampleIntervalMs = 50;

sockaddr_in loopback(int port) {
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  socket_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socket_address.sin_port = htons(static_cast<std::uint16_t>(port));
  return socket_address;
}
std::string address_text(int port) { return "127.0.0.1:" + std::to_string(port); }

// A datagram socket in the event loop.
struct UdpPort {
  UdpPort(event_base* base, std::function<void(const std::string&)> callback)
      : on_datagram(std::move(callback)) {
    fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in socket_address = loopback(0);
    REQUIRE(bind(fd, reinterpret_cast<const sockaddr*>(&socket_address), sizeof socket_address) == 0);
    socklen_t size = sizeof socket_address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&socket_address), &size);
    port_number = ntohs(socket_address.sin_port);
    if (!on_datagram) return;
    read_event.reset(event_new(
        base, fd, EV_READ | EV_PERSIST,
        [](int readable_fd, short, void* self) {
          char bytes[512];
          for (ssize_t n; (n = recv(readable_fd, bytes, sizeof bytes, 0)) >= 0;)
            static_cast<UdpPort*>(self)->on_datagram(std::string(bytes, static_cast<std::size_t>(n)));
        },
        this));
    event_add(read_event.get(), nullptr);
  }
  ~UdpPort() { close(fd); }
  std::function<void(const std::string&)> on_datagram;
  int fd, port_number = 0;
  loop::EventPtr read_event;
};

// The network: one port per pair of routers, as listed in `peers`.
struct SimulatedNetwork {
  explicit SimulatedNetwork(event_base* base) {
    for (std::size_t i = 0; i < kRouters; ++i) listen_ports.push_back(free_port());
    for (std::size_t i = 0; i < kRouters; ++i) {
      for (std::size_t j = 0; j < kRouters; ++j) {
        ports.push_back(std::make_unique<UdpPort>(
            base, [this, i, j](const std::string& bytes) { forward(i, j, bytes); }));
      }
    }
  }
  void forward(std::size_t from, std::size_t to, const std::string& bytes) {
    ++sent, max_bytes = std::max(max_bytes, bytes.size());
    if (!delivers(from, to) || draw(random) < loss) return;
    const sockaddr_in socket_address = loopback(listen_ports[to]);
    for (int copies = draw(random) < duplicate_share ? 2 : 1; copies > 0; --copies) {
      sendto(ports[to * kRouters + from]->fd, bytes.data(), bytes.size(), 0,
             reinterpret_cast<const sockaddr*>(&socket_address), sizeof socket_address);
    }
  }
  std::function<bool(std::size_t from, std::size_t to)> delivers = [](std::size_t, std::size_t) {
    return true;
  };
  double loss = 0, duplicate_share = 0;
  std::size_t sent = 0, max_bytes = 0;
  std::vector<int> listen_ports;
  std::vector<std::unique_ptr<UdpPort>> ports; // by listing router, then by the router it stands for
  std::mt19937 random{7};
  std::uniform_real_distribution<double> draw{0, 1};
};

// An origin whose response time grows with the number of active requests.
class OriginServer {
 public:
  explicit OriginServer(event_base* base) : base_(base) {
    const sockaddr_in socket_address = loopback(0);
    listener_ =
        evconnlistener_new_bind(base, &OriginServer::accepted, this, LEV_OPT_CLOSE_ON_FREE, 64,
                                reinterpret_cast<const sockaddr*>(&socket_address), sizeof socket_address);
    sockaddr_in bound_address{};
    socklen_t size = sizeof bound_address;
    getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&bound_address), &size);
    address = address_text(ntohs(bound_address.sin_port));
  }
  ~OriginServer() { evconnlistener_free(listener_); }
  std::string address;
  int active = 0, max_active = 0, answered = 0; // `max_active` since it was reset

 private:
  struct OriginConnection {
    OriginServer* origin;
    loop::BuffereventPtr io;
    http::Parser parser{http::MessageKind::Request, kMaxBodyBytes};
    bool busy = false;
    loop::EventPtr timer;
  };
  static void accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
    auto* origin = static_cast<OriginServer*>(self);
    evutil_make_socket_nonblocking(fd);
    OriginConnection& connection = *origin->connections_.emplace_back(std::make_unique<OriginConnection>());
    connection.origin = origin;
    connection.io = loop::make_bufferevent(origin->base_, fd);
    bufferevent_setcb(
        connection.io.get(),
        [](bufferevent*, void* context) { read(*static_cast<OriginConnection*>(context)); }, nullptr,
        [](bufferevent*, short, void* context) { end(*static_cast<OriginConnection*>(context)); },
        &connection);
    bufferevent_enable(connection.io.get(), EV_READ | EV_WRITE);
  }
  static void end(OriginConnection& connection) {
    if (std::exchange(connection.busy, false)) --connection.origin->active;
    connection.timer.reset();
    connection.io.reset();
  }
  static void read(OriginConnection& connection) {
    const auto input = loop::pending_input(connection.io.get());
    loop::consume_input(connection.io.get(), connection.parser.feed(input));
    if (!connection.parser.done()) return;
    connection.parser.take_message();
    connection.busy = true;
    OriginServer& origin = *connection.origin;
    origin.max_active = std::max(origin.max_active, ++origin.active);
    const double response_ms = 20 * std::max(1.0, origin.active / 8.0);
    connection.timer.reset(event_new(
        origin.base_, -1, 0,
        [](int, short, void* context) {
          OriginConnection& done = *static_cast<OriginConnection*>(context);
          done.busy = false;
          --done.origin->active;
          ++done.origin->answered;
          const std::string response = ok_response("from the ledger");
          bufferevent_write(done.io.get(), response.data(), response.size());
        },
        &connection));
    const timeval response_delay{0, static_cast<suseconds_t>(response_ms * 1000)};
    event_add(connection.timer.get(), &response_delay);
  }
  event_base* base_;
  evconnlistener* listener_;
  std::deque<std::unique_ptr<OriginConnection>> connections_;
};

// A tier of routers as processes, with their clients, caches and origin.
struct ProcessTier {
  // `broken_path`: the address that the first router has for s-1 does not answer.
  // `fleet_file`: the file's text; without it the routers do not gossip.
  explicit ProcessTier(bool broken_path = false,
                       const std::optional<std::string>& fleet_file = "[members]\nperiod = \"" +
                                                                      std::to_string(kPeriodMs) +
                                                                      "ms\"\n[share]\nfindings = true\n",
                       bool direct_connections = false)
      : gossip_enabled(fleet_file.has_value()), direct(direct_connections) {
    std::ofstream(folder / "fleet.toml") << fleet_file.value_or("");
    for (std::size_t i = 0; i < kRouters; ++i) {
      std::vector<std::string> peers;
      for (std::size_t j = 0; j < kRouters; ++j)
        peers.push_back(address_text(net.ports[i * kRouters + j]->port_number));
      Json config = config_json(
          discovery.address,
          endpoint_list_json(
              1, true,
              {endpoint_json("s-1", broken_path && i == 0 ? silent_server.address : server_one.address),
               endpoint_json("s-2", server_two.address),
               endpoint_json("o-1", origin.address, "in_service", "origin")}));
      config["name"] = "n" + std::to_string(i);
      config["peer_listen"] = address_text(net.listen_ports[i]);
      if (direct) {
        for (std::size_t j = 0; j < kRouters; ++j) peers[j] = address_text(net.listen_ports[j]);
      }
      config["peers"] = peers;
      config["settings"]["balancers"] = kRouters;
      config["settings"]["me"] = i;
      // So that the origin is congested long before the full load.
      config["settings"]["classes"][0]["aim"] = 200;
      config["settings"]["classes"][0]["give_up"] = 800;
      configs.push_back(config);
      start(i);
    }
    // Discovery ends each call: each router uses its own cached list.
    for (const auto& program : programs)
      REQUIRE(wait_until([&] { return program->output_contains("cached-endpoints-used"); }));
    if (!gossip_enabled) return;
    REQUIRE(wait_until(
        [&] { return all([&](std::size_t i) { return statistic(i, "fleet_heard") == kRouters - 1; }); }));
  }
  void start(std::size_t i) {
    control_ports[i] = free_port();
    configs[i]["control"] = address_text(control_ports[i]);
    programs[i] = gossip_enabled
                      ? std::make_unique<TestProgram>(
                            std::vector<std::string>{"serve", "--fleet", folder / "fleet.toml"}, configs[i],
                            std::vector<std::string>{})
                      : std::make_unique<TestProgram>(std::vector<std::string>{"serve"}, configs[i]);
    clients.erase(i);
    const bool listens = wait_until([&] { return programs[i]->port() != 0; });
    REQUIRE_MESSAGE(listens, programs[i]->output);
  }
  void kill(std::size_t i) {
    programs[i].reset(); // SIGKILL
    clients.erase(i);
  }
  // A statistic of a router; -1: the router does not answer.
  double statistic(std::size_t i, const std::string& name) {
    if (programs[i] == nullptr || programs[i]->has_exited()) return -1;
    ControlClient control_client(base.get(), control_ports[i], "show-stat\n");
    const double end = loop::now_ms() + 500;
    run_until(base.get(), [&] { return control_client.closed || loop::now_ms() > end; });
    const auto at = control_client.received.find("router." + name + "=");
    return at == std::string::npos ? -1 : std::stod(control_client.received.substr(at + 8 + name.size()));
  }
  bool all(const std::function<bool(std::size_t)>& holds) {
    for (std::size_t i = 0; i < kRouters; ++i) {
      if (programs[i] != nullptr && !holds(i)) return false;
    }
    return true;
  }
  bool all_count_alive(std::size_t count, std::vector<std::size_t> routers = {0, 1, 2, 3}) {
    for (const std::size_t i : routers) {
      if (statistic(i, "fleet_living") != static_cast<double>(count)) return false;
    }
    return true;
  }
  // Clients that send the next request after each response: `clients_per_router[i]` at router i. Each key is
  // new, so all requests go to the origin.
  void send_load() {
    for (std::size_t i = 0; i < kRouters; ++i) {
      if (programs[i] == nullptr || programs[i]->port() == 0) continue;
      auto& router_clients = clients[i];
      while (router_clients.size() < clients_per_router[i]) router_clients.emplace_back();
      for (LoadClient& load_client : router_clients) {
        if (load_client.client == nullptr || load_client.client->closed) {
          load_client = {std::make_unique<TestClient>(base.get(), programs[i]->port()), 0, 0};
        }
        if (load_client.client->responses.size() < load_client.sent || loop::now_ms() < load_client.next_at)
          continue;
        if (load_client.sent > 0 && load_client.next_at == 0) {
          const bool success = load_client.client->responses.back().status == 200;
          served += success;
          if (!success) load_client.next_at = loop::now_ms() + 50; // as clients do after a rejection
          if (!success) continue;
        }
        load_client.next_at = 0;
        const std::string id = std::to_string(++requests_sent);
        load_client.client->send(get_request("/k/" + id, "q" + id));
        ++load_client.sent;
      }
    }
  }
  // Keeps sending load. `done` may read statistics.
  bool wait_until(const std::function<bool()>& done) {
    const double end = loop::now_ms() + 30000;
    while (!done()) {
      if (loop::now_ms() > end) return false;
      const double next_check_ms = loop::now_ms() + 20;
      run_until(base.get(), [&] {
        send_load();
        return loop::now_ms() >= next_check_ms;
      });
    }
    return true;
  }
  // Waits until all routers see all others alive, and prints how long that took.
  bool wait_until_complete() {
    const double started_at_ms = loop::now_ms();
    const bool complete = wait_until([&] { return all_count_alive(kRouters); });
    MESSAGE("all alive after ms: " << loop::now_ms() - started_at_ms
                                   << ", max active attempts: " << origin.max_active);
    return complete;
  }
  void run_for(double ms) {
    const double end = loop::now_ms() + ms;
    wait_until([&] { return loop::now_ms() >= end; });
  }
  double total_limit() {
    double sum = 0;
    for (std::size_t i = 0; i < kRouters; ++i) sum += std::max(0.0, statistic(i, "fleet_limit")) / 1000;
    return sum;
  }
  // The total limit averaged over kLimitAveragingMs, under load.
  double mean_total_limit() {
    double sum = 0;
    std::size_t count = 0;
    for (const double end = loop::now_ms() + kLimitAveragingMs; loop::now_ms() < end; ++count) {
      run_for(kLimitSampleIntervalMs);
      sum += total_limit();
    }
    return sum / static_cast<double>(count);
  }
  // The most attempts that all sides of a partition together may have in flight at the origin: the previous
  // mean total limit plus a quarter for the growth of limits at routers without congestion, and one attempt
  // for the rounding at each router.
  int max_concurrency(double before) const {
    return static_cast<int>(std::ceil(1.25 * before)) + static_cast<int>(kRouters);
  }

  bool gossip_enabled, direct; // direct: without the simulated network
  router::EventBasePtr base = router::make_event_base();
  SimulatedNetwork net{base.get()};
  OriginServer origin{base.get()};
  ScriptedServer discovery{base.get(), [](const http::Message&) { return std::string("!"); }};
  ScriptedServer silent_server{base.get(), [](const http::Message&) { return std::string(); }};
  bool s1_silent = false; // s-1 does not answer any router
  std::size_t attempts = 0;
  ScriptedServer server_one{base.get(), [this](const http::Message&) {
                              return ++attempts, s1_silent ? std::string() : kCacheMiss;
                            }};
  ScriptedServer server_two{base.get(), [](const http::Message&) { return kCacheMiss; }};
  TemporaryFolder folder;
  std::vector<Json> configs;
  std::vector<std::unique_ptr<TestProgram>> programs{kRouters};
  std::vector<int> control_ports = std::vector<int>(kRouters);
  std::size_t clients_per_router[kRouters] = {0, 0, 0, 0};
  struct LoadClient {
    std::unique_ptr<TestClient> client;
    std::size_t sent = 0;
    double next_at = 0; // after a rejected request: waits until then
  };
  std::map<std::size_t, std::vector<LoadClient>> clients;
  std::uint64_t requests_sent = 0, served = 0;
};

// Sends load until the limiters have settled.
void find_limits(ProcessTier& tier) {
  tier.clients_per_router[0] = 48;
  tier.clients_per_router[1] = tier.clients_per_router[2] = tier.clients_per_router[3] = 16;
  tier.run_for(4000);
}

} // namespace

TEST_CASE(
    "in a partition each side counts its own and the origin gets no more than before and all reconnect") {
  ProcessTier tier;
  find_limits(tier);
  const double before = tier.mean_total_limit();
  bool one_way = false;
  SUBCASE("both directions between two and two routers") {
    tier.net.delivers = [](std::size_t from, std::size_t to) { return from / 2 == to / 2; };
  }
  SUBCASE("one direction and nobody receives from the first router") {
    one_way = true;
    tier.net.delivers = [](std::size_t from, std::size_t) { return from != 0; };
  }
  tier.origin.max_active = 0;
  if (one_way) {
    CHECK(tier.wait_until([&] { return tier.all_count_alive(3, {1, 2, 3}); }));
  } else {
    CHECK(tier.wait_until([&] { return tier.all_count_alive(2); }));
  }
  tier.run_for(2000);
  MESSAGE("limits before: " << before
                            << ", max active at the origin in the partition: " << tier.origin.max_active);
  CHECK(tier.origin.max_active <= tier.max_concurrency(before));
  const std::uint64_t served = tier.served;
  tier.run_for(500);
  CHECK(tier.served > served);
  tier.net.delivers = [](std::size_t, std::size_t) { return true; };
  tier.origin.max_active = 0;
  CHECK(tier.wait_until_complete());
  CHECK(tier.origin.max_active <= tier.max_concurrency(before));
  CHECK(tier.net.max_bytes <= 256);
}

TEST_CASE("with half of the datagrams lost and some duplicated no live router is declared dead for long") {
  ProcessTier tier;
  tier.net.loss = 0.5;
  tier.net.duplicate_share = 0.2;
  find_limits(tier);
  tier.origin.max_active = 0;
  const double before = tier.mean_total_limit();
  CHECK(tier.wait_until([&] { return tier.all_count_alive(4); }));
  tier.run_for(1000);
  CHECK(tier.origin.max_active <= tier.max_concurrency(before));
  tier.net.loss = 0;
  CHECK(tier.wait_until_complete());
}

TEST_CASE("a stopped router is declared dead and declares no other dead when it resumes") {
  ProcessTier tier;
  find_limits(tier);
  const double before = tier.mean_total_limit();
  tier.programs[3]->signal(SIGSTOP);
  tier.clients.erase(3);
  tier.clients_per_router[3] = 0;
  tier.origin.max_active = 0;
  CHECK(tier.wait_until([&] { return tier.all_count_alive(3, {0, 1, 2}); }));
  CHECK(tier.origin.max_active <= tier.max_concurrency(before));
  tier.programs[3]->signal(SIGCONT);
  double min_alive = 4;
  const double resumed_at_ms = loop::now_ms();
  CHECK(tier.wait_until([&] {
    min_alive = std::min(min_alive, tier.statistic(3, "fleet_living"));
    return tier.all_count_alive(4);
  }));
  MESSAGE("all alive again after ms: " << loop::now_ms() - resumed_at_ms);
  CHECK(min_alive >= 4);
  CHECK(tier.origin.max_active <= tier.max_concurrency(before));
}

TEST_CASE("a killed and restarted router has its share of the origin limit after one exchange") {
  ProcessTier tier;
  find_limits(tier);
  tier.kill(2);
  CHECK(tier.wait_until([&] { return tier.all_count_alive(3, {0, 1, 3}); }));
  const double before = tier.mean_total_limit();
  tier.origin.max_active = 0;
  tier.clients_per_router[2] = 0;
  tier.start(2);
  CHECK(tier.wait_until([&] { return tier.statistic(2, "fleet_heard") > 0; }));
  CHECK(tier.wait_until_complete());
  const double others = (tier.total_limit() - tier.statistic(2, "fleet_limit") / 1000) / 3;
  MESSAGE("its limit: " << tier.statistic(2, "fleet_limit") / 1000 << ", the others' mean: " << others);
  tier.clients_per_router[2] = 16;
  tier.run_for(500);
  CHECK(tier.origin.max_active <= tier.max_concurrency(before * 4 / 3));
}

TEST_CASE("in a rolling upgrade and a full restart leaving processes notify others and all see all alive") {
  ProcessTier tier;
  tier.clients_per_router[0] = tier.clients_per_router[1] = tier.clients_per_router[2] =
      tier.clients_per_router[3] = 2;
  tier.run_for(500);
  const double before = tier.total_limit();
  tier.origin.max_active = 0;
  for (std::size_t i = 0; i < kRouters; ++i) {
    tier.programs[i]->signal(SIGTERM);
    std::unique_ptr<TestProgram> old_program = std::move(tier.programs[i]);
    tier.clients.erase(i);
    tier.start(i); // beside the old one, which still answers its accepted requests
    CHECK(tier.wait_until_complete());
    CHECK(tier.wait_until([&] { return old_program->has_exited(); }));
    CHECK_MESSAGE(old_program->exit_code == 0, old_program->output);
  }
  for (std::size_t i = 0; i < kRouters; ++i) tier.kill(i);
  for (std::size_t i = 0; i < kRouters; ++i) tier.start(i);
  const double started_at_ms = loop::now_ms();
  CHECK(tier.wait_until(
      [&] { return tier.all([&](std::size_t i) { return tier.statistic(i, "fleet_heard") == 3; }); }));
  MESSAGE("after a full restart each has reports of all others after ms: " << loop::now_ms() - started_at_ms);
  for (std::size_t i = 0; i < kRouters; ++i) CHECK(tier.statistic(i, "fleet_living") == 4);
  CHECK(tier.origin.max_active <= tier.max_concurrency(before));
}

TEST_CASE(
    "a silent node is ejected by all on the reports of two routers and in a partition only on their side "
    "and recovers") {
  ProcessTier tier;
  // The other routers receive no requests: they know the node only from reports.
  tier.clients_per_router[0] = tier.clients_per_router[1] = 4;
  tier.run_for(500);
  const auto ejected = [&](std::size_t i) { return tier.statistic(i, "cluster_unhealthy") == 1; };
  tier.net.delivers = [](std::size_t from, std::size_t to) { return from / 2 == to / 2; };
  tier.s1_silent = true;
  const double silent_since_ms = loop::now_ms();
  CHECK(tier.wait_until([&] { return ejected(0) && ejected(1); }));
  for (int i = 0; i < 10; ++i) {
    tier.run_for(50);
    CHECK_FALSE(ejected(2));
    CHECK_FALSE(ejected(3));
  }
  tier.net.delivers = [](std::size_t, std::size_t) { return true; };
  CHECK(tier.wait_until([&] { return ejected(2) && ejected(3); }));
  MESSAGE("ejected by all after ms: " << loop::now_ms() - silent_since_ms
                                      << ", attempts at the node: " << tier.attempts);
  tier.s1_silent = false;
  tier.clients_per_router[2] = tier.clients_per_router[3] = 4;
  CHECK(tier.wait_until(
      [&] { return tier.all([&](std::size_t i) { return tier.statistic(i, "cluster_unhealthy") == 0; }); }));
}

TEST_CASE("a router with a broken connection to a node ejects it for itself only") {
  ProcessTier tier(true);
  for (auto& clients_per_router : tier.clients_per_router) clients_per_router = 4;
  CHECK(tier.wait_until([&] { return tier.statistic(0, "cluster_unhealthy") == 1; }));
  for (int i = 0; i < 10; ++i) {
    const std::size_t attempts = tier.attempts;
    tier.run_for(150);
    CHECK(tier.attempts > attempts);
    for (const std::size_t other : {1, 2, 3}) CHECK(tier.statistic(other, "cluster_unhealthy") == 0);
  }
}

TEST_CASE("datagrams that are too long or damaged or not from a peer are dropped and counted") {
  ProcessTier tier;
  UdpPort unknown_peer(tier.base.get(), nullptr);
  const sockaddr_in socket_address = loopback(tier.net.listen_ports[0]);
  for (int i = 0; i < 5; ++i) {
    sendto(unknown_peer.fd, "hello", 5, 0, reinterpret_cast<const sockaddr*>(&socket_address),
           sizeof socket_address);
    const std::string too_long(300, 'x');
    sendto(tier.net.ports[1]->fd, too_long.data(), too_long.size(), 0,
           reinterpret_cast<const sockaddr*>(&socket_address), sizeof socket_address);
    sendto(tier.net.ports[1]->fd, "spoilt", 6, 0, reinterpret_cast<const sockaddr*>(&socket_address),
           sizeof socket_address);
  }
  CHECK(tier.wait_until([&] { return tier.programs[0]->output_contains("strangers=10"); }));
  CHECK(tier.programs[0]->output_contains("damaged=5"));
  CHECK(tier.all_count_alive(4));
}

TEST_CASE("a faulty fleet file or a platform file without peers is named and the program does not start") {
  TemporaryFolder folder;
  const auto check_rejected = [&](const std::string& text, const Json& config,
                                  const std::string& expected_error) {
    std::ofstream(folder / "f.toml") << text;
    TestProgram program({"serve", "--fleet", folder / "f.toml"}, config);
    const router::EventBasePtr base = router::make_event_base();
    CHECK(run_until(base.get(), [&] { return program.has_exited(); }));
    CHECK(program.exit_code == 1);
    CHECK_MESSAGE(program.output.find(expected_error) != std::string::npos, program.output);
  };
  Json config = config_json("127.0.0.1:1", nullptr);
  check_rejected("[share]\nledgre = true\n", config, "f.toml:2:1: unknown-key: share.ledgre");
  check_rejected("[members]\nperiod = \"1ms\"\n", config, "members.period: must be from 50 ms to 5 s");
  check_rejected("", config, "peer_listen: is missing");
  config["peer_listen"] = "127.0.0.1:7946";
  config["peers"] = {"127.0.0.1:7950"};
  config["settings"]["me"] = 1;
  check_rejected("", config, "settings.me: is 1, but there are 1 peers");
  config["settings"]["me"] = 0;
  config["settings"]["limits"]["may_tell"] = false;
  check_rejected("", config, "settings.limits.may_tell: is false");
  config["settings"]["limits"]["may_tell"] = true;
  config["peers"] = {"nowhere"};
  check_rejected("", config, "peers[0]: \"nowhere\" is not an address");
}

// Measures the cost of gossip, for docs/notes/fleet.md:
//   COST="400ms 15 3" fernward_gossip_transport_tests --no-skip -tc="cost*"
// The values are the period, requests per second and router, pairs, and further lines under [share]. The two
// tiers of a pair, without and with gossip, run at the same time, so that other processes on the machine
// affect both.
TEST_CASE("cost of gossip with both settings at the same time" * doctest::skip()) {
  const char* options_text = std::getenv("COST");
  std::istringstream options(options_text != nullptr ? options_text : "400ms 0 3");
  std::string period, share_lines;
  double requests_per_s = 0;
  int pairs = 0;
  options >> period >> requests_per_s >> pairs;
  std::getline(options >> std::ws, share_lines); // for example "ledger=false"
  constexpr double kSeconds = 20;
  struct MeasuredTier {
    explicit MeasuredTier(const std::optional<std::string>& fleet_file) : tier(false, fleet_file, true) {
      for (const auto& program : tier.programs)
        clients.push_back(std::make_unique<TestClient>(tier.base.get(), program->port()));
    }
    void send_request() {
      const std::string id = std::to_string(++tier.requests_sent);
      const std::size_t i = tier.requests_sent % kRouters;
      if (clients[i]->closed)
        clients[i] = std::make_unique<TestClient>(tier.base.get(), tier.programs[i]->port());
      clients[i]->send(get_request("/k/" + id, "q" + id));
    }
    TestProgram::ResourceUsage resource_usage() const {
      TestProgram::ResourceUsage sum;
      for (const auto& program : tier.programs) {
        const TestProgram::ResourceUsage usage = program->resource_usage();
        sum.cpu_ms += usage.cpu_ms, sum.voluntary_context_switches += usage.voluntary_context_switches;
      }
      return sum;
    }
    ProcessTier tier;
    std::vector<std::unique_ptr<TestClient>> clients;
  };
  for (int pair = 0; pair < pairs; ++pair) {
    std::unique_ptr<MeasuredTier> tiers[2] = {
        std::make_unique<MeasuredTier>(std::nullopt),
        std::make_unique<MeasuredTier>("[members]\nperiod = \"" + period + "\"\n[share]\n" + share_lines +
                                       "\n")};
    double next_request_at_ms = loop::now_ms();
    std::size_t turns = 0;
    const auto run_for = [&](double ms) {
      for (const double end = loop::now_ms() + ms; loop::now_ms() < end; usleep(300)) {
        ++turns; // alternates, because the tier that runs second benefits from warm CPU caches
        for (std::size_t i = 0; i < 2; ++i)
          event_base_loop(tiers[(turns + i) % 2]->tier.base.get(), EVLOOP_NONBLOCK);
        if (requests_per_s <= 0 || loop::now_ms() < next_request_at_ms) continue;
        next_request_at_ms += 1000 / requests_per_s / kRouters;
        for (std::size_t i = 0; i < 2; ++i) tiers[(turns + i) % 2]->send_request();
      }
    };
    run_for(4000);
    const TestProgram::ResourceUsage usage_before[2] = {tiers[0]->resource_usage(),
                                                        tiers[1]->resource_usage()};
    run_for(1000 * kSeconds);
    double cpu_ms_per_s[2];
    for (int i = 0; i < 2; ++i) {
      const TestProgram::ResourceUsage usage = tiers[i]->resource_usage();
      const double router_seconds = kSeconds * kRouters;
      cpu_ms_per_s[i] = (usage.cpu_ms - usage_before[i].cpu_ms) / router_seconds;
      std::printf(
          "  %-3s %6.3f ms of CPU and %5.1f wakes per second and router\n", i == 0 ? "off" : "on",
          cpu_ms_per_s[i],
          (usage.voluntary_context_switches - usage_before[i].voluntary_context_switches) / router_seconds);
    }
    std::printf("%s, %.0f requests per second: +%.3f ms per second, +%.1f%%\n", period.c_str(),
                requests_per_s, cpu_ms_per_s[1] - cpu_ms_per_s[0],
                100 * (cpu_ms_per_s[1] / cpu_ms_per_s[0] - 1));
    std::fflush(stdout);
  }
}
