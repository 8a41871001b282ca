// Runs every cell of the table of faults against stages: brings a request to its stage, injects the fault,
// lets clients and nodes continue, and checks what they observed. Each cell runs with an idempotent read, a
// write with an idempotency key, and a write that is not idempotent.
#include <doctest/doctest.h>
#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <set>

#include "caller.h"
#include "cells.h"
#include "witness.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

using Heard = model::Heard;

[[maybe_unused]] const auto no_signal = signal(SIGPIPE, SIG_IGN); // peers write to closed connections

enum class Under { Nothing, Term, Hup };

constexpr std::size_t kLong = 1 << 20;    // a response that is streamed
constexpr std::size_t kUpload = 6u << 20; // a body larger than the socket buffers
constexpr std::size_t kFlowing = 1 << 20; // a body that is streamed
const char* const kSubject = "subject";

std::string value_of(const std::string& target) { return "v of " + target; }
std::string long_value() { return std::string(kLong, 'L'); }

// A message split into the part sent before the stage is reached, and the rest.
struct Part {
  std::string first, rest;
};
Part cut(const std::string& text, std::size_t at) { return {text.substr(0, at), text.substr(at)}; }

struct Play {
  Play(const Cell& cell, const std::string& class_name, Under what)
      : stage(cell.stage), fault(cell.fault), cls(class_name), under(what), w([this](Json& file) {
          settings_of(file);
        }) {
    config = config_json(w.discovery.address, node_list(7, true, w.all()));
    settings_of(config);
    std::size_t i = 0;
    for (Peer* peer : {&w.one, &w.two, &third, &w.origin}) {
      const auto machine = static_cast<model::MachineId>(i++);
      peer->script = [this, peer, machine](const http::Message& m) { return arrived(*peer, machine, m); };
      if (machine != 2) witness.told(machine, ServerState::Ready);
    }
  }

  bool writes() const { return cls != "read"; }
  bool lookup() const { return !writes(); }

  void settings_of(Json& file) {
    file["limits"]["memory_mb"] = fault == "buffers-out" ? 8 : 64;
    if (fault == "body-file-fails") {
      file["limits"]["memory_mb"] = 16; // 256 KiB of a body are retained in memory
      file["limits"]["body_folder"] = "/proc/no-such-folder";
    }
    auto& classes = file["settings"]["classes"];
    classes.push_back({{"name", "once"}, {"repeat", "unsafe"}, {"worth", 1}});
    for (auto& c : classes) c["aim"] = kAimMs, c["give_up"] = kGiveUpMs;
    classes[1]["window"] = kWindowMs;
    if (stage == "waiting") file["settings"]["balancers"] = 32; // one write at a time at the origin
  }

  // ---- the nodes ----

  std::string arrived(Peer& peer, model::MachineId machine, const http::Message& m) {
    const std::string id(m.header("x-request-id"));
    const auto attempt = witness.came(id, machine, peer.begun_at);
    const std::string said = reply(peer, m);
    if (said.empty() || !peer.whole) {
      held[&peer].push_back({id, attempt});
      return said;
    }
    witness.ended(attempt, ending_of(said, machine));
    return said;
  }
  model::Ending ending_of(const std::string& said, model::MachineId machine) const {
    if (said == kTurnedAway) return model::Ending::Full;
    if (said == kMiss) return model::Ending::Miss;
    if (!said.starts_with("HTTP/1.1 200")) return model::Ending::Error;
    return machine == witness.ledger() ? writes() ? model::Ending::Written : model::Ending::Fetched
                                       : model::Ending::Hit;
  }
  // Ends all attempts that `peer` has not answered.
  void end_held(Peer& peer, model::Ending how) {
    for (const auto& [id, attempt] : std::exchange(held[&peer], {})) witness.ended(attempt, how);
  }
  std::string reply(Peer& peer, const http::Message& m) {
    peer.whole = true;
    const std::string id(m.header("x-request-id"));
    const bool holds = id == kSubject && &peer == node && !reached;
    if (holds && stage == "awaiting") return "";
    if (holds && (stage == "answer-head" || stage == "answer-body" || stage == "passing")) {
      peer.whole = false;
      return answer.first;
    }
    if (stage == "waiting" && !reached && id == "leader" && (&peer == &w.origin)) return "";
    if (stage == "waiting" && lookup() && &peer != &w.origin && !stored) return kMiss;
    if (silent.count(&peer) > 0) return "";
    if (const auto found = says.find(&peer); found != says.end()) return found->second;
    return ok(stage == "passing" && id == kSubject ? long_value() : value_of(m.target));
  }

  // ---- the client ----

  std::string request(const std::string& id, std::size_t body) const {
    if (lookup()) return get("/k/subject", id);
    std::string head = "PUT /k/subject HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id +
                       "\r\nX-Priority-Class: " + cls + "\r\nIdempotency-Key: k-" + id +
                       "\r\nX-Timeout-Ms: 2000\r\nContent-Length: " + std::to_string(body) + "\r\n\r\n";
    return head + std::string(body, 'b');
  }
  std::uint32_t class_number() const { return cls == "read" ? 0 : cls == "book" ? 1 : 2; }

  // Runs the event loop until `done`, and records the clients' responses meanwhile.
  bool until(const std::function<bool()>& done) {
    return w.until([&] {
      witness.looked();
      for (auto& [id, c] : clients) hear(id, *c);
      return done();
    });
  }
  void wait(double ms) {
    const double end = loop::now_ms() + ms;
    until([end] { return loop::now_ms() >= end; });
  }
  void hear(const std::string& id, Client& c) {
    if (!witness.known(id) || witness.is_over(id)) return;
    if (c.answers.size() > before[id]) {
      const http::Message& a = c.answers[before[id]];
      if (a.status == 200) {
        const bool genuine =
            a.body == value_of("/k/subject") || (stage == "passing" && a.body == long_value());
        return witness.heard(id, Heard::Served, genuine);
      }
      return witness.heard(id, a.status == 503 ? Heard::Refused : Heard::Failed);
    }
    // If its node fails, a streamed response is truncated: then it is only required that the client can
    // detect it.
    if (c.closed)
      witness.heard(id, stage == "passing" && id == kSubject && node_breaks() ? Heard::Left : Heard::Broken);
  }
  Client& client(const std::string& id) {
    auto& c = clients[id];
    if (c == nullptr) c = std::make_unique<Client>(w.base.get(), w.router->port());
    return *c;
  }
  // Records that the complete request is sent from now on.
  void asks(const std::string& id, bool owed = true) {
    before.try_emplace(id, client(id).answers.size()); // a response may arrive before the request is complete
    witness.asked(id, class_number(), owed);
  }
  bool ask(const std::string& id) {
    asks(id);
    client(id).send(request(id, 1));
    return until([&] { return witness.is_over(id); });
  }

  // ---- reaching the stage ----

  bool reach() {
    if (!w.until([&] { return w.watched(); })) return false;
    if (stage != "waiting") { // find out the target, and open a connection to it that is idle then
      if (!ask("warm-up")) return false;
      node = writes() ? &w.origin : &w.last_asked();
    } else {
      node = &w.origin;
    }
    Client& c = client(kSubject);
    if (stage == "connected") {
      return until([&] { return w.router->listener().connections() == clients.size(); });
    }
    if (stage == "head") {
      text = cut(request(kSubject, 1), 30);
      c.send(text.first);
      wait(5);
      return true;
    }
    if (stage == "body") {
      text = cut(request(kSubject, kFlowing), kFlowing / 2 + 400);
      c.send(text.first);
      return until([&] { return node->body_come > 0; });
    }
    if (stage == "waiting") {
      asks("leader");
      client("leader").send(request("leader", 1));
      if (!until([&] { return !w.origin.seen.empty(); })) return false;
      asks(kSubject);
      c.send(request(kSubject, 1));
      return until([&] { return w.router->driver().unanswered_requests() == 2; }) && (wait(10), true);
    }
    if (stage == "connecting") {
      node->break_off(Peer::End::Fin);
      if (!until([&] { return w.router->pool().connections() == 0; })) return false;
      const int before_now = node->connections;
      asks(kSubject);
      c.send(request(kSubject, 1));
      return until([&] { return w.router->driver().attempts_in_flight() == 1; }) &&
             node->connections == before_now;
    }
    if (stage == "writing") {
      node->stopped = true;
      c.send(request(kSubject, kUpload));
      return until([&] { return w.router->driver().attempts_in_flight() == 1; }) && (wait(40), true);
    }
    if (stage == "rest") {
      clients[kSubject] = std::move(clients["warm-up"]);
      clients.erase("warm-up");
      return until([&] { return w.router->pool().connections() > 0; });
    }
    const std::string whole = stage == "passing" ? ok(long_value()) : ok(value_of("/k/subject"));
    answer = cut(whole, stage == "awaiting"      ? 0
                        : stage == "answer-head" ? 24
                        : stage == "answer-body" ? whole.size() - 1 // all except the last byte
                                                 : 300 << 10);
    asks(kSubject);
    c.send(request(kSubject, 1));
    if (stage == "passing") return until([&] { return c.come() > 0; });
    if (!until([&] { return !held[node].empty(); })) return false;
    if (stage != "awaiting") wait(5);
    return true;
  }

  // ---- injecting the fault, and continuing ----

  bool node_breaks() const {
    return fault == "node-fin" || fault == "node-rst" || fault == "node-half-close" ||
           fault == "target-restarted";
  }
  bool node_side() const { return stage != "connected" && stage != "head" && stage != "rest"; }
  bool client_side() const {
    return stage == "connected" || stage == "head" || stage == "body" || stage == "rest";
  }
  bool answering() const {
    return stage == "awaiting" || stage == "answer-head" || stage == "answer-body" || stage == "passing";
  }
  std::string rest_of_request() const {
    return stage == "connected" || stage == "rest" ? request(kSubject, 1) : text.rest;
  }
  std::string rest_of_answer() const {
    return stage == "awaiting" ? ok(value_of("/k/subject")) : answer.rest;
  }

  // Sends the rest of the client's request.
  void client_goes_on() {
    if (!client_side()) return;
    asks(kSubject);
    client(kSubject).send(rest_of_request());
  }
  // Lets the node do what remains: read the request, or send its response or `with` instead.
  void node_goes_on(const std::string& with, model::Ending how) {
    if (stage == "writing" || stage == "body") return node->read_on();
    if (stage == "waiting") {
      stored = true;
      w.origin.say(with.empty() ? ok(value_of("/k/subject")) : with);
      return end_held(w.origin, how);
    }
    if (!answering() || node->open() == 0) return;
    node->say(with.empty() ? rest_of_answer() : with);
    end_held(*node, how);
  }
  void node_goes_on() { node_goes_on("", writes() ? model::Ending::Written : model::Ending::Hit); }

  void client_ends(Peer::End how) {
    if (!client_side() && !witness.is_over(kSubject)) witness.asked(kSubject, class_number(), false);
    if (witness.known(kSubject)) witness.heard(kSubject, Heard::Left);
    left = true;
    client(kSubject).break_off(how);
    node_goes_on();
  }
  void list(int index, const std::vector<Json>& changed) {
    REQUIRE(w.tell(node_list(index, false, changed)));
  }
  Json entry(const std::string& state, const std::string& address, double since = 0) const {
    Json e = node == &w.origin ? endpoint("o-1", address, state, "origin")
                               : endpoint(node == &w.one ? "s-1" : "s-2", address, state);
    e["since_ms"] = since;
    return e;
  }
  model::MachineId machine() const { return node == &w.one ? 0 : node == &w.two ? 1 : witness.ledger(); }

  void happen() {
    if (fault == "client-fin") return client_ends(Peer::End::Fin);
    if (fault == "client-rst") return client_ends(Peer::End::Reset);
    if (fault == "client-half-close")
      return client_ends(Peer::End::Half); // a half-close counts as a disconnect
    if (fault == "client-silent") {        // the rest of the request is never sent
      if (client_side() && stage != "connected" && stage != "rest") asks(kSubject, false);
      wait(30);
      node_goes_on();
      if (stage == "connected" || stage == "rest") client_goes_on();
      return;
    }
    if (fault == "client-slow") {
      if (client_side()) {
        const std::string rest = rest_of_request();
        const std::size_t step = rest.size() / 5 + 1;
        for (std::size_t at = 0; at < rest.size(); at += step) {
          if (at + step >= rest.size()) asks(kSubject);
          client(kSubject).send(rest.substr(at, step));
          wait(5);
        }
      }
      client(kSubject).stop_reading();
      node_goes_on();
      wait(20);
      return client(kSubject).read_on();
    }
    if (fault == "client-noise") {
      asks(kSubject);
      const std::string noise("\x01\x02 no HTTP\r\n\r\n", 14);
      if (stage == "connected" || stage == "rest" || stage == "head") {
        client(kSubject).send(noise);
      } else if (stage == "body") {
        client(kSubject).send(std::string(text.rest.size(), '\xff') + noise);
      } else {
        client(kSubject).send(noise);
        node_goes_on();
      }
      return;
    }
    if (fault == "client-extra") {
      client_goes_on();
      client(kSubject).send(std::string(100 << 10, 'x'));
      return node_goes_on();
    }
    if (fault == "node-fin" || fault == "node-rst" || fault == "node-half-close") {
      node->stopped = false;
      node->break_off(fault == "node-fin"   ? Peer::End::Fin
                      : fault == "node-rst" ? Peer::End::Reset
                                            : Peer::End::Half);
      if (fault != "node-half-close" || answering()) end_held(*node, model::Ending::Lost);
      if (stage == "waiting") stored = true;
      return client_goes_on();
    }
    if (fault == "node-silent") {
      silent.insert(node);
      return client_goes_on();
    }
    if (fault == "node-slow") {
      client_goes_on();
      if (!answering()) return wait(40), node_goes_on();
      const std::string rest = rest_of_answer();
      const std::size_t step = rest.size() / 5 + 1;
      for (std::size_t at = 0; at < rest.size() && node->open() > 0; at += step) {
        node->say(rest.substr(at, step));
        wait(8);
      }
      return end_held(*node, writes() ? model::Ending::Written : model::Ending::Hit);
    }
    if (fault == "node-noise") {
      const std::string noise("\x01\x02 no HTTP\r\n\r\n", 14);
      if (!node_side() || stage == "connecting" || stage == "body" || stage == "writing") {
        if (node->open() > 0 && stage != "writing" && stage != "body")
          node->say(noise); // on an idle connection
        says[node] = noise;
        client_goes_on();
        return node->read_on();
      }
      client_goes_on();
      return node_goes_on(noise, model::Ending::Error);
    }
    if (fault == "node-extra") {
      if (answering() || stage == "waiting") {
        const std::string whole = stage == "waiting" ? ok(value_of("/k/subject")) : rest_of_answer();
        return node_goes_on(whole + "more", writes() ? model::Ending::Written : model::Ending::Hit);
      }
      says[node] = ok(value_of("/k/subject")) + "more";
      client_goes_on();
      return node->read_on();
    }
    if (fault == "turned-away" || fault == "error") {
      const std::string answered = fault == "error" ? status(500) : kTurnedAway;
      says[node] = answered;
      client_goes_on();
      return node_goes_on(answered, fault == "error" ? model::Ending::Error : model::Ending::Full);
    }
    if (fault == "target-drained" || fault == "target-gone") {
      list(8, {entry(fault == "target-gone" ? "terminated" : "terminating", node->address)});
      witness.told(machine(), ServerState::Draining);
      client_goes_on();
      return node_goes_on();
    }
    if (fault == "target-banned") {
      CHECK(w.call("disable-server " + std::string(node == &w.one ? "s-1" : "s-2")) == "ok\n");
      witness.told(machine(), ServerState::Draining);
      client_goes_on();
      return node_goes_on();
    }
    if (fault == "target-restarted") {
      node->stopped = false;
      node->break_off(Peer::End::Reset);
      end_held(*node, model::Ending::Lost);
      if (stage == "waiting") stored = true;
      list(8, {entry("in_service", node->address, loop::now_ms())});
      witness.caused();
      return client_goes_on();
    }
    if (fault == "address-taken-over") {
      // The node continues at another address; another machine has the old one.
      list(8, {entry("in_service", third.address, loop::now_ms())});
      witness.told(machine(), ServerState::Gone);
      witness.told(2, ServerState::Ready);
      client_goes_on();
      return node_goes_on();
    }
    if (fault == "deadline-passed") {
      for (Peer* peer : {&w.one, &w.two, &w.origin}) silent.insert(peer);
      return client_goes_on();
    }
    if (fault == "descriptors-out") {
      rlimit usual{};
      REQUIRE(getrlimit(RLIMIT_NOFILE, &usual) == 0);
      const int next = dup(0);
      close(next);
      const rlimit few{static_cast<rlim_t>(next), usual.rlim_max};
      REQUIRE(setrlimit(RLIMIT_NOFILE, &few) == 0);
      client_goes_on();
      wait(15);
      REQUIRE(setrlimit(RLIMIT_NOFILE, &usual) == 0);
      witness.caused();
      return node_goes_on();
    }
    if (fault == "buffers-out") {
      for (int i = 0; i < 30; ++i) {
        crowd.push_back(std::make_unique<Client>(w.base.get(), w.router->port()));
        crowd.back()->send("PUT /k HTTP/1.1\r\nContent-Length: 60001\r\n\r\n" + std::string(60000, 'x'));
      }
      wait(20);
      client_goes_on();
      return node_goes_on();
    }
    if (fault == "discovery-damaged") w.discovery.say(ok("<html>"));
    if (fault == "discovery-silent") w.discovery.script = [](const http::Message&) { return std::string(); };
    if (fault == "loop-held-up") usleep(60000);
    // body-file-fails: configured in apply_settings()
    client_goes_on();
    node_goes_on();
  }

  // ---- the complete run ----

  void run() {
    REQUIRE(reach());
    reached = true;
    before.try_emplace(kSubject, client(kSubject).answers.size());
    if (under == Under::Term) w.router->begin_shutdown(), witness.terminated();
    if (under == Under::Hup) w.router->reload(config::parse(config.dump(), &no_environment));
    happen();
    const bool none = stage == "connected" && left; // no request was sent
    if (!witness.known(kSubject)) witness.asked(kSubject, class_number(), false);
    if (!none && !left)
      CHECK_MESSAGE(until([&] { return witness.is_over(kSubject); }),
                    "the client received neither a response nor the end of its connection");
    if (left && !witness.is_over(kSubject)) witness.heard(kSubject, Heard::Left);
    for (auto& [id, c] : clients) {
      if (id != kSubject && witness.known(id)) CHECK(until([&, name = id] { return witness.is_over(name); }));
    }
    wait(5); // for a second response, or an attempt after the response
    CHECK(client(kSubject).answers.size() <= before[kSubject] + 2);
    // Nothing may remain: no request, attempt, connection or buffered byte.
    clients.clear();
    crowd.clear();
    for (Peer* peer : {&w.one, &w.two, &third, &w.origin}) peer->read_on();
    CHECK(w.until([&] {
      return w.router->driver().unanswered_requests() == 0 && w.router->driver().attempts_in_flight() == 0 &&
             w.router->bytes().held() == 0 &&
             w.router->kept().memory_bytes() + w.router->kept().file_bytes() == 0 &&
             w.router->listener().connections() == 0 &&
             w.router->account().used(descriptors::Side::Downstream) == 0 &&
             w.router->account().used(descriptors::Side::Upstream) == w.router->pool().connections();
    }));
    run_for(w.base.get(), 2); // for libevent to free what it frees from the event loop
    const std::string broken = witness.judge(stage == "waiting");
    CHECK_MESSAGE(broken.empty(), broken);
  }

  const std::string stage, fault, cls;
  const Under under;
  Controlled w;
  Peer third{w.base.get(), [](const http::Message&) { return std::string(); }};
  Json config;
  Witness witness;
  Peer* node = nullptr;
  Part text, answer;
  bool reached = false, stored = false, left = false;
  std::map<Peer*, std::vector<std::pair<std::string, model::AttemptId>>> held;
  std::set<Peer*> silent;
  std::map<Peer*, std::string> says;
  std::map<std::string, std::unique_ptr<Client>> clients;
  std::map<std::string, std::size_t> before;
  std::vector<std::unique_ptr<Client>> crowd;
};

// Whether a request of this class can reach the cell.
bool applies(const Cell& cell, const std::string& cls) {
  if (cls == "read") return cell.stage != "body" && cell.stage != "writing";
  return cell.fault != "target-banned"; // the origin cannot be disabled
}

void play_stage(const std::string& stage, Under under) {
  int played = 0;
  const char* const only = std::getenv("FERNWARD_CELL"); // runs one fault alone, for debugging
  for (const Cell& cell : read_cells(FERNWARD_CELLS)) {
    if (cell.stage != stage || !cell.played || (only != nullptr && cell.fault != only)) continue;
    for (const char* cls : {"read", "book", "once"}) {
      if (!applies(cell, cls)) continue;
      INFO(cell.stage << " | " << cell.fault << " | " << cls);
      Play(cell, cls, under).run();
      ++played;
    }
  }
  CHECK(played > 0);
}

} // namespace

TEST_CASE("faults: connected") { play_stage("connected", Under::Nothing); }
TEST_CASE("faults under SIGTERM: connected") { play_stage("connected", Under::Term); }
TEST_CASE("faults under SIGHUP: connected") { play_stage("connected", Under::Hup); }
TEST_CASE("faults: head") { play_stage("head", Under::Nothing); }
TEST_CASE("faults under SIGTERM: head") { play_stage("head", Under::Term); }
TEST_CASE("faults under SIGHUP: head") { play_stage("head", Under::Hup); }
TEST_CASE("faults: body") { play_stage("body", Under::Nothing); }
TEST_CASE("faults under SIGTERM: body") { play_stage("body", Under::Term); }
TEST_CASE("faults under SIGHUP: body") { play_stage("body", Under::Hup); }
TEST_CASE("faults: waiting") { play_stage("waiting", Under::Nothing); }
TEST_CASE("faults under SIGTERM: waiting") { play_stage("waiting", Under::Term); }
TEST_CASE("faults under SIGHUP: waiting") { play_stage("waiting", Under::Hup); }
TEST_CASE("faults: connecting") { play_stage("connecting", Under::Nothing); }
TEST_CASE("faults under SIGTERM: connecting") { play_stage("connecting", Under::Term); }
TEST_CASE("faults under SIGHUP: connecting") { play_stage("connecting", Under::Hup); }
TEST_CASE("faults: writing") { play_stage("writing", Under::Nothing); }
TEST_CASE("faults under SIGTERM: writing") { play_stage("writing", Under::Term); }
TEST_CASE("faults under SIGHUP: writing") { play_stage("writing", Under::Hup); }
TEST_CASE("faults: awaiting") { play_stage("awaiting", Under::Nothing); }
TEST_CASE("faults under SIGTERM: awaiting") { play_stage("awaiting", Under::Term); }
TEST_CASE("faults under SIGHUP: awaiting") { play_stage("awaiting", Under::Hup); }
TEST_CASE("faults: answer-head") { play_stage("answer-head", Under::Nothing); }
TEST_CASE("faults under SIGTERM: answer-head") { play_stage("answer-head", Under::Term); }
TEST_CASE("faults under SIGHUP: answer-head") { play_stage("answer-head", Under::Hup); }
TEST_CASE("faults: answer-body") { play_stage("answer-body", Under::Nothing); }
TEST_CASE("faults under SIGTERM: answer-body") { play_stage("answer-body", Under::Term); }
TEST_CASE("faults under SIGHUP: answer-body") { play_stage("answer-body", Under::Hup); }
TEST_CASE("faults: passing") { play_stage("passing", Under::Nothing); }
TEST_CASE("faults under SIGTERM: passing") { play_stage("passing", Under::Term); }
TEST_CASE("faults under SIGHUP: passing") { play_stage("passing", Under::Hup); }
TEST_CASE("faults: rest") { play_stage("rest", Under::Nothing); }
TEST_CASE("faults under SIGTERM: rest") { play_stage("rest", Under::Term); }
TEST_CASE("faults under SIGHUP: rest") { play_stage("rest", Under::Hup); }
