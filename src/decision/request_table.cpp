#include "decision/request_table.h"

namespace opalroute::decision {

Request* RequestTable::Find(RequestId id) {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

const Request* RequestTable::Find(RequestId id) const {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

Request& RequestTable::Add(const NewRequest& request) {
  Request& entry = requests_[request.request_id];
  static_cast<NewRequest&>(entry) = request;
  return entry;
}

}  // namespace opalroute::decision
