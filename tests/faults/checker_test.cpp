// Tests that the check of the fault cells detects faults: each test records what clients and nodes would
// observe with a faulty router.
#include <doctest/doctest.h>
#include <unistd.h>

#include "cell_recorder.h"

using namespace fernward;
using namespace fernward::tests;
using TryOutcome = model::TryOutcome;

namespace {

// A recorder whose nodes are all in service.
struct ReadyCellRecorder : CellRecorder {
  ReadyCellRecorder() {
    for (const model::MachineId machine : {0u, 1u, origin()}) on_endpoint_state(machine, ServerState::Ready);
  }
  bool reports_violation_of(const std::string& rule) {
    return check().find(rule + ": ") != std::string::npos;
  }
};

} // namespace

TEST_CASE("checker of the fault cells: a correct router causes no breach") {
  ReadyCellRecorder recorder;
  recorder.on_request("a", 0);
  recorder.on_attempt_ended(recorder.on_attempt_received("a", 0, loop::now_ms()), model::ServerOutcome::Miss);
  recorder.on_attempt_ended(recorder.on_attempt_received("a", recorder.origin(), loop::now_ms()),
                            model::ServerOutcome::Fetched);
  recorder.on_response("a", TryOutcome::Served);
  CHECK(recorder.check() == "");
}

TEST_CASE("checker of the fault cells: each fault of a router is detected") {
  ReadyCellRecorder recorder;
  SUBCASE("two responses to one request") {
    recorder.on_request("a", 0);
    recorder.on_response("a", TryOutcome::Served);
    recorder.on_response("a", TryOutcome::Served);
    CHECK(recorder.reports_violation_of("one-answer"));
  }
  SUBCASE("a connection that ends without a response") {
    recorder.on_request("a", 0);
    recorder.on_response("a", TryOutcome::ConnectionLost);
    CHECK(recorder.reports_violation_of("no-lost"));
  }
  SUBCASE("a response after the client timeout") {
    recorder.on_request("a", 0);
    usleep(static_cast<useconds_t>(1000 * (kClientTimeoutMs + 200)));
    recorder.on_response("a", TryOutcome::Failed);
    CHECK(recorder.reports_violation_of("no-lost"));
  }
  SUBCASE("a value that no node sent") {
    recorder.on_request("a", 0);
    recorder.on_response("a", TryOutcome::Served, false);
    CHECK(recorder.reports_violation_of("genuine"));
  }
  SUBCASE("a non-idempotent request sent again after it may have run") {
    recorder.on_request("a", 2);
    recorder.on_attempt_ended(recorder.on_attempt_received("a", recorder.origin(), loop::now_ms()),
                              model::ServerOutcome::Lost);
    recorder.on_attempt_ended(recorder.on_attempt_received("a", recorder.origin(), loop::now_ms()),
                              model::ServerOutcome::Written);
    recorder.on_response("a", TryOutcome::Served);
    CHECK(recorder.reports_violation_of("repeats"));
  }
  SUBCASE("a non-idempotent request rejected as if it had not run") {
    recorder.on_request("a", 2);
    recorder.on_attempt_ended(recorder.on_attempt_received("a", recorder.origin(), loop::now_ms()),
                              model::ServerOutcome::Lost);
    recorder.on_response("a", TryOutcome::Rejected);
    CHECK(recorder.reports_violation_of("repeats"));
  }
  SUBCASE("an attempt for an unknown request") {
    recorder.on_attempt_received("stranger", 0, loop::now_ms());
    CHECK(recorder.reports_violation_of("repeats"));
  }
  SUBCASE("a new request sent to a node long after it started to drain") {
    recorder.on_endpoint_state(0, ServerState::Draining);
    usleep(450000);
    recorder.on_request("a", 0);
    recorder.on_attempt_ended(recorder.on_attempt_received("a", 0, loop::now_ms()),
                              model::ServerOutcome::Hit);
    recorder.on_response("a", TryOutcome::Served);
    CHECK(recorder.reports_violation_of("drains"));
  }
  SUBCASE("a request given up with no attempt in flight but not answered at once") {
    recorder.on_request("a", 1);
    recorder.on_attempt_ended(recorder.on_attempt_received("a", recorder.origin(), loop::now_ms()),
                              model::ServerOutcome::Error);
    usleep(250000);
    recorder.on_response("a", TryOutcome::Rejected);
    CHECK(recorder.reports_violation_of("at-once"));
  }
}
