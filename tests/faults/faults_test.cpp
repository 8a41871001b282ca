// Runs every cell marked `played` in the table of faults against stages: brings a request to its stage,
// injects the fault, lets clients and nodes continue, and checks what they observed. Each cell runs with an
// idempotent read, a write with an idempotency key, and a write that is not idempotent.
#include <doctest/doctest.h>
#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <set>

#include "cell_recorder.h"
#include "cells.h"
#include "control_client.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

using TryOutcome = model::TryOutcome;

[[maybe_unused]] const auto sigpipe_ignored = signal(SIGPIPE, SIG_IGN); // peers write to closed connections

enum class SignalSent { None, Term, Hup };

constexpr std::size_t kLongResponseBytes = 1 << 20;   // a response that is streamed
constexpr std::size_t kBlockedUploadBytes = 6u << 20; // a body larger than the socket buffers
constexpr std::size_t kStreamedBodyBytes = 1 << 20;   // a body that is streamed
const char* const kTestedRequestId = "subject";

std::string value_of(const std::string& target) { return "v of " + target; }
std::string long_response_value() { return std::string(kLongResponseBytes, 'L'); }

// A message split into the part sent before the stage is reached, and the rest.
struct SplitText {
  std::string first, rest;
};
SplitText split_at(const std::string& text, std::size_t at) { return {text.substr(0, at), text.substr(at)}; }

// One run of a cell with one class: a router with scripted nodes and clients. run() does all of it.
struct CellRun {
  CellRun(const Cell& cell, const std::string& class_name, SignalSent signal_sent)
      : stage(cell.stage),
        fault(cell.fault),
        request_class(class_name),
        delivered_signal(signal_sent),
        fixture([this](Json& file) { apply_settings(file); }) {
    config = config_json(fixture.discovery.address, endpoint_list_json(7, true, fixture.all_endpoints()));
    apply_settings(config);
    std::size_t next_machine = 0;
    for (ScriptedServer* peer : {&fixture.cache_1, &fixture.cache_2, &third_node, &fixture.origin}) {
      const auto machine = static_cast<model::MachineId>(next_machine++);
      peer->script = [this, peer, machine](const http::Message& message) {
        return on_node_request(*peer, machine, message);
      };
      if (machine != 2) recorder.on_endpoint_state(machine, ServerState::Ready);
    }
  }

  bool writes() const { return request_class != "read"; }
  bool reads() const { return !writes(); }

  void apply_settings(Json& file) {
    file["limits"]["memory_mb"] = fault == "buffers-out" ? 8 : 64;
    if (fault == "body-file-fails") {
      file["limits"]["memory_mb"] = 16; // 256 KiB of a body are retained in memory
      file["limits"]["body_folder"] = "/proc/no-such-folder";
    }
    auto& classes = file["settings"]["classes"];
    classes.push_back({{"name", "once"}, {"repeat", "unsafe"}, {"worth", 1}});
    for (auto& entry : classes) entry["aim"] = kObjectiveMs, entry["give_up"] = kClientTimeoutMs;
    classes[1]["window"] = kIdempotencyWindowMs;
    if (stage == "waiting") file["settings"]["balancers"] = 32; // one write at a time at the origin
  }

  // ---- the nodes ----

  std::string on_node_request(ScriptedServer& peer, model::MachineId machine, const http::Message& message) {
    const std::string id(message.header("x-request-id"));
    const auto attempt = recorder.on_attempt_received(id, machine, peer.last_request_began_at_ms);
    const std::string response = reply(peer, message);
    if (response.empty() || !peer.response_complete) {
      unanswered_attempts[&peer].push_back({id, attempt});
      return response;
    }
    recorder.on_attempt_ended(attempt, ending_of(response, machine));
    return response;
  }
  model::ServerOutcome ending_of(const std::string& response, model::MachineId machine) const {
    if (response == kNotProcessed) return model::ServerOutcome::Full;
    if (response == kCacheMiss) return model::ServerOutcome::Miss;
    if (!response.starts_with("HTTP/1.1 200")) return model::ServerOutcome::Error;
    return machine == recorder.origin()
               ? writes() ? model::ServerOutcome::Written : model::ServerOutcome::Fetched
               : model::ServerOutcome::Hit;
  }
  // Ends all attempts that `peer` has not answered.
  void end_unanswered(ScriptedServer& peer, model::ServerOutcome outcome) {
    for (const auto& [id, attempt] : std::exchange(unanswered_attempts[&peer], {}))
      recorder.on_attempt_ended(attempt, outcome);
  }
  std::string reply(ScriptedServer& peer, const http::Message& message) {
    peer.response_complete = true;
    const std::string id(message.header("x-request-id"));
    const bool withhold = id == kTestedRequestId && &peer == target && !stage_reached;
    if (withhold && stage == "awaiting") return "";
    if (withhold && (stage == "answer-head" || stage == "answer-body" || stage == "passing")) {
      peer.response_complete = false;
      return response_text.first;
    }
    if (stage == "waiting" && !stage_reached && id == "leader" && (&peer == &fixture.origin)) return "";
    if (stage == "waiting" && reads() && &peer != &fixture.origin && !cache_has_value) return kCacheMiss;
    if (silent_nodes.count(&peer) > 0) return "";
    if (const auto found = forced_replies.find(&peer); found != forced_replies.end()) return found->second;
    return ok_response(stage == "passing" && id == kTestedRequestId ? long_response_value()
                                                                    : value_of(message.target));
  }

  // ---- the client ----

  std::string request(const std::string& id, std::size_t body) const {
    if (reads()) return get_request("/k/subject", id);
    std::string head = "PUT /k/subject HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id +
                       "\r\nX-Priority-Class: " + request_class + "\r\nIdempotency-Key: k-" + id +
                       "\r\nX-Timeout-Ms: 2000\r\nContent-Length: " + std::to_string(body) + "\r\n\r\n";
    return head + std::string(body, 'b');
  }
  std::uint32_t class_number() const { return request_class == "read" ? 0 : request_class == "book" ? 1 : 2; }

  // Runs the event loop until `done`, and records the clients' responses meanwhile.
  bool run_until(const std::function<bool()>& done) {
    return fixture.wait_until([&] {
      recorder.record_loop_gap();
      for (auto& [id, client_connection] : clients) record_response(id, *client_connection);
      return done();
    });
  }
  void run_for_ms(double ms) {
    const double end = loop::now_ms() + ms;
    run_until([end] { return loop::now_ms() >= end; });
  }
  void record_response(const std::string& id, TestClient& client_connection) {
    if (!recorder.is_known(id) || recorder.is_finished(id)) return;
    if (client_connection.responses.size() > responses_before[id]) {
      const http::Message& response = client_connection.responses[responses_before[id]];
      if (response.status == 200) {
        const bool genuine = response.body == value_of("/k/subject") ||
                             (stage == "passing" && response.body == long_response_value());
        return recorder.on_response(id, TryOutcome::Served, genuine);
      }
      return recorder.on_response(id, response.status == 503 ? TryOutcome::Rejected : TryOutcome::Failed);
    }
    // If its node fails, a streamed response is truncated: then it is only required that the client can
    // detect it.
    if (client_connection.closed)
      recorder.on_response(id, stage == "passing" && id == kTestedRequestId && node_connection_breaks()
                                   ? TryOutcome::Abandoned
                                   : TryOutcome::ConnectionLost);
  }
  TestClient& client(const std::string& id) {
    auto& client_connection = clients[id];
    if (client_connection == nullptr)
      client_connection = std::make_unique<TestClient>(fixture.base.get(), fixture.router->port());
    return *client_connection;
  }
  // Records that the complete request is about to be sent. A response may arrive before it is.
  void begin_request(const std::string& id, bool expects_response = true) {
    responses_before.try_emplace(id, client(id).responses.size());
    recorder.on_request(id, class_number(), expects_response);
  }
  // The tested request is complete, or can become complete from now on. No response is required.
  void record_request_if_unknown() {
    if (!recorder.is_known(kTestedRequestId)) recorder.on_request(kTestedRequestId, class_number(), false);
  }
  bool request_and_wait(const std::string& id) {
    begin_request(id);
    client(id).send(request(id, 1));
    return run_until([&] { return recorder.is_finished(id); });
  }

  // ---- reaching the stage ----

  bool reach_stage() {
    if (!fixture.wait_until([&] { return fixture.is_watching(); })) return false;
    if (stage != "waiting") { // finds the target and leaves an idle connection to it
      if (!request_and_wait("warm-up")) return false;
      target = writes() ? &fixture.origin : &fixture.last_requested_cache();
    } else {
      target = &fixture.origin;
    }
    TestClient& tested_client = client(kTestedRequestId);
    if (stage == "connected") {
      return run_until([&] { return fixture.router->listener().connection_count() == clients.size(); });
    }
    if (stage == "head") {
      request_text = split_at(request(kTestedRequestId, 1), 30);
      tested_client.send(request_text.first);
      run_for_ms(5);
      return true;
    }
    if (stage == "body") {
      request_text = split_at(request(kTestedRequestId, kStreamedBodyBytes), kStreamedBodyBytes / 2 + 400);
      tested_client.send(request_text.first);
      return run_until([&] { return target->partial_body_bytes > 0; });
    }
    if (stage == "waiting") {
      begin_request("leader");
      client("leader").send(request("leader", 1));
      if (!run_until([&] { return !fixture.origin.requests.empty(); })) return false;
      begin_request(kTestedRequestId);
      tested_client.send(request(kTestedRequestId, 1));
      return run_until([&] { return fixture.router->dispatcher().unanswered_requests() == 2; }) &&
             (run_for_ms(10), true);
    }
    if (stage == "connecting") {
      target->close_all(ScriptedServer::CloseMode::Fin);
      if (!run_until([&] { return fixture.router->pool().connection_count() == 0; })) return false;
      const int connections_before = target->accepted_connections;
      begin_request(kTestedRequestId);
      tested_client.send(request(kTestedRequestId, 1));
      return run_until([&] { return fixture.router->dispatcher().attempts_in_flight() == 1; }) &&
             target->accepted_connections == connections_before;
    }
    if (stage == "writing") {
      target->reading_paused = true;
      tested_client.send(request(kTestedRequestId, kBlockedUploadBytes));
      return run_until([&] { return fixture.router->dispatcher().attempts_in_flight() == 1; }) &&
             (run_for_ms(40), true);
    }
    if (stage == "rest") {
      clients[kTestedRequestId] = std::move(clients["warm-up"]);
      clients.erase("warm-up");
      return run_until([&] { return fixture.router->pool().connection_count() > 0; });
    }
    const std::string complete_response =
        stage == "passing" ? ok_response(long_response_value()) : ok_response(value_of("/k/subject"));
    response_text = split_at(complete_response, stage == "awaiting"      ? 0
                                                : stage == "answer-head" ? 24
                                                : stage == "answer-body"
                                                    ? complete_response.size() - 1 // all except the last byte
                                                    : 300 << 10);
    begin_request(kTestedRequestId);
    tested_client.send(request(kTestedRequestId, 1));
    if (stage == "passing") return run_until([&] { return tested_client.partial_body_bytes() > 0; });
    if (!run_until([&] { return !unanswered_attempts[target].empty(); })) return false;
    if (stage != "awaiting") run_for_ms(5);
    return true;
  }

  // ---- injecting the fault, and continuing ----

  bool node_connection_breaks() const {
    return fault == "node-fin" || fault == "node-rst" || fault == "node-half-close" ||
           fault == "target-restarted";
  }
  bool router_waits_for_node() const { return stage != "connected" && stage != "head" && stage != "rest"; }
  bool router_waits_for_client() const {
    return stage == "connected" || stage == "head" || stage == "body" || stage == "rest";
  }
  bool is_node_answering() const {
    return stage == "awaiting" || stage == "answer-head" || stage == "answer-body" || stage == "passing";
  }
  std::string remaining_request() const {
    return stage == "connected" || stage == "rest" ? request(kTestedRequestId, 1) : request_text.rest;
  }
  std::string remaining_response() const {
    return stage == "awaiting" ? ok_response(value_of("/k/subject")) : response_text.rest;
  }

  // Sends the rest of the client's request.
  void resume_client() {
    if (!router_waits_for_client()) return;
    begin_request(kTestedRequestId);
    client(kTestedRequestId).send(remaining_request());
  }
  // Lets the node continue: it reads the rest of the request, or sends `response`, or the rest of its own if
  // `response` is empty. `outcome` is recorded for its attempts.
  void resume_node(const std::string& response, model::ServerOutcome outcome) {
    if (stage == "writing" || stage == "body") return target->resume_reading();
    if (stage == "waiting") {
      cache_has_value = true;
      fixture.origin.write_to_last(response.empty() ? ok_response(value_of("/k/subject")) : response);
      return end_unanswered(fixture.origin, outcome);
    }
    if (!is_node_answering() || target->open_connections() == 0) return;
    target->write_to_last(response.empty() ? remaining_response() : response);
    end_unanswered(*target, outcome);
  }
  void resume_node() {
    resume_node("", writes() ? model::ServerOutcome::Written : model::ServerOutcome::Hit);
  }

  void end_client(ScriptedServer::CloseMode mode) {
    if (!router_waits_for_client() && !recorder.is_finished(kTestedRequestId))
      recorder.on_request(kTestedRequestId, class_number(), false);
    if (recorder.is_known(kTestedRequestId)) recorder.on_response(kTestedRequestId, TryOutcome::Abandoned);
    client_left = true;
    client(kTestedRequestId).close_with(mode);
    resume_node();
  }
  void publish_endpoints(int index, const std::vector<Json>& changed_entries) {
    REQUIRE(fixture.send_endpoint_update(endpoint_list_json(index, false, changed_entries)));
  }
  Json target_entry(const std::string& state, const std::string& address, double since_ms = 0) const {
    Json endpoint_entry = target == &fixture.origin
                              ? endpoint_json("o-1", address, state, "origin")
                              : endpoint_json(target == &fixture.cache_1 ? "s-1" : "s-2", address, state);
    endpoint_entry["since_ms"] = since_ms;
    return endpoint_entry;
  }
  model::MachineId target_machine() const {
    return target == &fixture.cache_1 ? 0 : target == &fixture.cache_2 ? 1 : recorder.origin();
  }

  void inject_fault() {
    if (fault == "client-fin") return end_client(ScriptedServer::CloseMode::Fin);
    if (fault == "client-rst") return end_client(ScriptedServer::CloseMode::Reset);
    if (fault == "client-half-close")
      return end_client(ScriptedServer::CloseMode::WriteShutdown); // a half-close counts as a disconnect
    if (fault == "client-silent") {                                // the rest of the request is never sent
      if (router_waits_for_client() && stage != "connected" && stage != "rest")
        begin_request(kTestedRequestId, false);
      run_for_ms(30);
      resume_node();
      if (stage == "connected" || stage == "rest") resume_client();
      return;
    }
    if (fault == "client-slow") {
      if (router_waits_for_client()) {
        const std::string rest = remaining_request();
        const std::size_t step = rest.size() / 5 + 1;
        for (std::size_t at = 0; at < rest.size(); at += step) {
          if (at + step >= rest.size()) begin_request(kTestedRequestId);
          client(kTestedRequestId).send(rest.substr(at, step));
          run_for_ms(5);
        }
      }
      client(kTestedRequestId).stop_reading();
      record_request_if_unknown(); // the node may have all of it before the client reads again
      resume_node();
      run_for_ms(20);
      return client(kTestedRequestId).resume_reading();
    }
    if (fault == "client-noise") {
      begin_request(kTestedRequestId);
      const std::string noise("\x01\x02 no HTTP\r\n\r\n", 14);
      if (stage == "connected" || stage == "rest" || stage == "head") {
        client(kTestedRequestId).send(noise);
      } else if (stage == "body") {
        client(kTestedRequestId).send(std::string(request_text.rest.size(), '\xff') + noise);
      } else {
        client(kTestedRequestId).send(noise);
        resume_node();
      }
      return;
    }
    if (fault == "client-extra") {
      resume_client();
      client(kTestedRequestId).send(std::string(100 << 10, 'x'));
      return resume_node();
    }
    if (fault == "node-fin" || fault == "node-rst" || fault == "node-half-close") {
      target->reading_paused = false;
      target->close_all(fault == "node-fin"   ? ScriptedServer::CloseMode::Fin
                        : fault == "node-rst" ? ScriptedServer::CloseMode::Reset
                                              : ScriptedServer::CloseMode::WriteShutdown);
      if (fault != "node-half-close" || is_node_answering())
        end_unanswered(*target, model::ServerOutcome::Lost);
      if (stage == "waiting") cache_has_value = true;
      return resume_client();
    }
    if (fault == "node-silent") {
      silent_nodes.insert(target);
      return resume_client();
    }
    if (fault == "node-slow") {
      resume_client();
      if (!is_node_answering()) return run_for_ms(40), resume_node();
      const std::string rest = remaining_response();
      const std::size_t step = rest.size() / 5 + 1;
      for (std::size_t at = 0; at < rest.size() && target->open_connections() > 0; at += step) {
        target->write_to_last(rest.substr(at, step));
        run_for_ms(8);
      }
      return end_unanswered(*target, writes() ? model::ServerOutcome::Written : model::ServerOutcome::Hit);
    }
    if (fault == "node-noise") {
      const std::string noise("\x01\x02 no HTTP\r\n\r\n", 14);
      if (!router_waits_for_node() || stage == "connecting" || stage == "body" || stage == "writing") {
        if (target->open_connections() > 0 && stage != "writing" && stage != "body")
          target->write_to_last(noise); // on an idle connection
        forced_replies[target] = noise;
        resume_client();
        return target->resume_reading();
      }
      resume_client();
      return resume_node(noise, model::ServerOutcome::Error);
    }
    if (fault == "node-extra") {
      if (is_node_answering() || stage == "waiting") {
        const std::string complete_response =
            stage == "waiting" ? ok_response(value_of("/k/subject")) : remaining_response();
        return resume_node(complete_response + "more",
                           writes() ? model::ServerOutcome::Written : model::ServerOutcome::Hit);
      }
      forced_replies[target] = ok_response(value_of("/k/subject")) + "more";
      resume_client();
      return target->resume_reading();
    }
    if (fault == "turned-away" || fault == "error") {
      const std::string response = fault == "error" ? status_response(500) : kNotProcessed;
      forced_replies[target] = response;
      resume_client();
      return resume_node(response,
                         fault == "error" ? model::ServerOutcome::Error : model::ServerOutcome::Full);
    }
    if (fault == "target-drained" || fault == "target-gone") {
      publish_endpoints(
          8, {target_entry(fault == "target-gone" ? "terminated" : "terminating", target->address)});
      recorder.on_endpoint_state(target_machine(), ServerState::Draining);
      resume_client();
      return resume_node();
    }
    if (fault == "target-banned") {
      CHECK(fixture.send_command("disable-server " +
                                 std::string(target == &fixture.cache_1 ? "s-1" : "s-2")) == "ok\n");
      recorder.on_endpoint_state(target_machine(), ServerState::Draining);
      resume_client();
      return resume_node();
    }
    if (fault == "target-restarted") {
      target->reading_paused = false;
      target->close_all(ScriptedServer::CloseMode::Reset);
      end_unanswered(*target, model::ServerOutcome::Lost);
      if (stage == "waiting") cache_has_value = true;
      publish_endpoints(8, {target_entry("in_service", target->address, loop::now_ms())});
      recorder.on_cause();
      return resume_client();
    }
    if (fault == "address-taken-over") {
      // The node continues at another address; another machine has the old one.
      publish_endpoints(8, {target_entry("in_service", third_node.address, loop::now_ms())});
      recorder.on_endpoint_state(target_machine(), ServerState::Gone);
      recorder.on_endpoint_state(2, ServerState::Ready);
      resume_client();
      return resume_node();
    }
    if (fault == "deadline-passed") {
      for (ScriptedServer* peer : {&fixture.cache_1, &fixture.cache_2, &fixture.origin})
        silent_nodes.insert(peer);
      return resume_client();
    }
    if (fault == "descriptors-out") {
      rlimit usual_limit{};
      REQUIRE(getrlimit(RLIMIT_NOFILE, &usual_limit) == 0);
      const int next = dup(0);
      close(next);
      const rlimit reduced_limit{static_cast<rlim_t>(next), usual_limit.rlim_max};
      REQUIRE(setrlimit(RLIMIT_NOFILE, &reduced_limit) == 0);
      resume_client();
      run_for_ms(15);
      REQUIRE(setrlimit(RLIMIT_NOFILE, &usual_limit) == 0);
      recorder.on_cause();
      return resume_node();
    }
    if (fault == "buffers-out") {
      for (int i = 0; i < 30; ++i) {
        background_clients.push_back(
            std::make_unique<TestClient>(fixture.base.get(), fixture.router->port()));
        background_clients.back()->send("PUT /k HTTP/1.1\r\nHost: h\r\nContent-Length: 60001\r\n\r\n" +
                                        std::string(60000, 'x'));
      }
      run_for_ms(20);
      resume_client();
      return resume_node();
    }
    if (fault == "discovery-damaged") fixture.discovery.write_to_last(ok_response("<html>"));
    if (fault == "discovery-silent")
      fixture.discovery.script = [](const http::Message&) { return std::string(); };
    if (fault == "loop-held-up") usleep(60000);
    // body-file-fails: configured in apply_settings()
    resume_client();
    resume_node();
  }

  // ---- the complete run ----

  void run() {
    REQUIRE(reach_stage());
    stage_reached = true;
    responses_before.try_emplace(kTestedRequestId, client(kTestedRequestId).responses.size());
    if (delivered_signal == SignalSent::Term) fixture.router->begin_shutdown(), recorder.on_sigterm();
    if (delivered_signal == SignalSent::Hup)
      fixture.router->reload(config::parse(config.dump(), &no_environment));
    inject_fault();
    const bool never_requested = stage == "connected" && client_left; // no request was sent
    record_request_if_unknown();
    if (!never_requested && !client_left)
      CHECK_MESSAGE(run_until([&] { return recorder.is_finished(kTestedRequestId); }),
                    "the client received neither a response nor the end of its connection");
    if (client_left && !recorder.is_finished(kTestedRequestId))
      recorder.on_response(kTestedRequestId, TryOutcome::Abandoned);
    for (auto& [id, client_connection] : clients) {
      if (id != kTestedRequestId && recorder.is_known(id))
        CHECK(run_until([&, name = id] { return recorder.is_finished(name); }));
    }
    run_for_ms(5); // for a second response, or an attempt after the response
    CHECK(client(kTestedRequestId).responses.size() <= responses_before[kTestedRequestId] + 2);
    // Nothing may remain: no request, attempt, connection or buffered byte.
    clients.clear();
    background_clients.clear();
    for (ScriptedServer* peer : {&fixture.cache_1, &fixture.cache_2, &third_node, &fixture.origin})
      peer->resume_reading();
    CHECK(fixture.wait_until([&] {
      return fixture.router->dispatcher().unanswered_requests() == 0 &&
             fixture.router->dispatcher().attempts_in_flight() == 0 &&
             fixture.router->buffer_budget().held_bytes() == 0 &&
             fixture.router->retained_bodies().memory_bytes() +
                     fixture.router->retained_bodies().file_bytes() ==
                 0 &&
             fixture.router->listener().connection_count() == 0 &&
             fixture.router->descriptor_budget().used(descriptors::Side::Downstream) == 0 &&
             fixture.router->descriptor_budget().used(descriptors::Side::Upstream) ==
                 fixture.router->pool().connection_count();
    }));
    run_for(fixture.base.get(), 2); // libevent frees some objects only from its event loop
    const std::string violations = recorder.check(stage == "waiting");
    CHECK_MESSAGE(violations.empty(), violations);
  }

  const std::string stage, fault, request_class;
  const SignalSent delivered_signal;
  RouterWithControlPort fixture;
  ScriptedServer third_node{fixture.base.get(), [](const http::Message&) { return std::string(); }};
  Json config;
  CellRecorder recorder;
  ScriptedServer* target = nullptr; // the node that is to serve the tested request
  SplitText request_text, response_text;
  bool stage_reached = false, cache_has_value = false, client_left = false;
  std::map<ScriptedServer*, std::vector<std::pair<std::string, model::AttemptId>>> unanswered_attempts;
  std::set<ScriptedServer*> silent_nodes;
  std::map<ScriptedServer*, std::string> forced_replies; // to each further request
  std::map<std::string, std::unique_ptr<TestClient>> clients;
  std::map<std::string, std::size_t> responses_before; // of a client when its request began
  std::vector<std::unique_ptr<TestClient>> background_clients;
};

// Whether a request of this class can reach the cell.
bool applies(const Cell& cell, const std::string& request_class) {
  if (request_class == "read") return cell.stage != "body" && cell.stage != "writing";
  return cell.fault != "target-banned"; // the origin cannot be disabled
}

void run_stage(const std::string& stage, SignalSent signal_sent) {
  int run_count = 0;
  const char* const selected_fault = std::getenv("FERNWARD_CELL"); // runs one fault alone, for debugging
  for (const Cell& cell : read_cells(FERNWARD_CELLS)) {
    if (cell.stage != stage || !cell.played || (selected_fault != nullptr && cell.fault != selected_fault))
      continue;
    for (const char* request_class : {"read", "book", "once"}) {
      if (!applies(cell, request_class)) continue;
      INFO(cell.stage << " | " << cell.fault << " | " << request_class);
      CellRun(cell, request_class, signal_sent).run();
      ++run_count;
    }
  }
  CHECK(run_count > 0);
}

} // namespace

TEST_CASE("faults: connected") { run_stage("connected", SignalSent::None); }
TEST_CASE("faults under SIGTERM: connected") { run_stage("connected", SignalSent::Term); }
TEST_CASE("faults under SIGHUP: connected") { run_stage("connected", SignalSent::Hup); }
TEST_CASE("faults: head") { run_stage("head", SignalSent::None); }
TEST_CASE("faults under SIGTERM: head") { run_stage("head", SignalSent::Term); }
TEST_CASE("faults under SIGHUP: head") { run_stage("head", SignalSent::Hup); }
TEST_CASE("faults: body") { run_stage("body", SignalSent::None); }
TEST_CASE("faults under SIGTERM: body") { run_stage("body", SignalSent::Term); }
TEST_CASE("faults under SIGHUP: body") { run_stage("body", SignalSent::Hup); }
TEST_CASE("faults: waiting") { run_stage("waiting", SignalSent::None); }
TEST_CASE("faults under SIGTERM: waiting") { run_stage("waiting", SignalSent::Term); }
TEST_CASE("faults under SIGHUP: waiting") { run_stage("waiting", SignalSent::Hup); }
TEST_CASE("faults: connecting") { run_stage("connecting", SignalSent::None); }
TEST_CASE("faults under SIGTERM: connecting") { run_stage("connecting", SignalSent::Term); }
TEST_CASE("faults under SIGHUP: connecting") { run_stage("connecting", SignalSent::Hup); }
TEST_CASE("faults: writing") { run_stage("writing", SignalSent::None); }
TEST_CASE("faults under SIGTERM: writing") { run_stage("writing", SignalSent::Term); }
TEST_CASE("faults under SIGHUP: writing") { run_stage("writing", SignalSent::Hup); }
TEST_CASE("faults: awaiting") { run_stage("awaiting", SignalSent::None); }
TEST_CASE("faults under SIGTERM: awaiting") { run_stage("awaiting", SignalSent::Term); }
TEST_CASE("faults under SIGHUP: awaiting") { run_stage("awaiting", SignalSent::Hup); }
TEST_CASE("faults: answer-head") { run_stage("answer-head", SignalSent::None); }
TEST_CASE("faults under SIGTERM: answer-head") { run_stage("answer-head", SignalSent::Term); }
TEST_CASE("faults under SIGHUP: answer-head") { run_stage("answer-head", SignalSent::Hup); }
TEST_CASE("faults: answer-body") { run_stage("answer-body", SignalSent::None); }
TEST_CASE("faults under SIGTERM: answer-body") { run_stage("answer-body", SignalSent::Term); }
TEST_CASE("faults under SIGHUP: answer-body") { run_stage("answer-body", SignalSent::Hup); }
TEST_CASE("faults: passing") { run_stage("passing", SignalSent::None); }
TEST_CASE("faults under SIGTERM: passing") { run_stage("passing", SignalSent::Term); }
TEST_CASE("faults under SIGHUP: passing") { run_stage("passing", SignalSent::Hup); }
TEST_CASE("faults: rest") { run_stage("rest", SignalSent::None); }
TEST_CASE("faults under SIGTERM: rest") { run_stage("rest", SignalSent::Term); }
TEST_CASE("faults under SIGHUP: rest") { run_stage("rest", SignalSent::Hup); }
