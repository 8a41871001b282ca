// Minimal embedding of the balancer: one endpoint list, one request and its response. Exits with a non-zero
// code if the balancer does not send the request to a server.
#include <cstdio>
#include <variant>
#include <vector>

#include "fernward/balancer.h"

int main() {
  using namespace fernward;
  Settings settings;
  ClassSettings read_class;
  read_class.latency_objective_ms = 200;
  read_class.client_timeout_ms = 1000;
  read_class.idempotency = Idempotency::Idempotent;
  settings.classes = {read_class};
  settings.max_attempts = 3;

  Balancer balancer(settings, 1);
  std::vector<Action> actions;
  double now = 1000; // the embedding program's clock, in milliseconds

  EndpointList list;
  for (ServerId id = 1; id <= 4; ++id) {
    Server server;
    server.id = id;
    list.servers.push_back(server);
  }
  balancer.on_event(now, list, actions);

  Request request;
  request.id = 1;
  request.key = 42;
  request.deadline = now + 900;
  balancer.on_event(now, request, actions);

  for (const Action& action : actions) {
    const auto* send = std::get_if<Send>(&action);
    if (send == nullptr) continue;
    std::printf("request %llu goes to cache %u\n", static_cast<unsigned long long>(send->id), send->server);
    AttemptOutcome outcome; // the report that follows the response of the cache
    outcome.id = send->id;
    outcome.server = send->server;
    outcome.elapsed_ms = 12;
    outcome.request_ended = true;
    std::vector<Action> next_actions;
    balancer.on_event(now + 12, outcome, next_actions);
    return 0;
  }
  return 1;
}
