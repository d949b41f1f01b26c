#ifndef BANYANKNOT_BENCH_MEASURE_FLEET_MEASURES_H_
#define BANYANKNOT_BENCH_MEASURE_FLEET_MEASURES_H_

#include "measure.h"

namespace banyanknot::measure {

/// \brief Time until the last new sub-request in a failure domain taken out.
class DomainOutMeasure : public Measure {
 public:
  std::string Name() const override { return "domain_out"; }
  Finding Run() override;
};

/// \brief Work in progress at a server that turned cold unannounced.
class ColdServerMeasure : public Measure {
 public:
  std::string Name() const override { return "cold_server"; }
  Finding Run() override;
};

/// \brief Time until the last new sub-request at a leaving server.
class LeavingServerMeasure : public Measure {
 public:
  std::string Name() const override { return "leaving_server"; }
  Finding Run() override;
};

/// \brief Requests cut or doubled while hosts are replaced one by one.
class GracefulStopMeasure : public Measure {
 public:
  std::string Name() const override { return "graceful_stop"; }
  Finding Run() override;
};

/// \brief Time until answers are whole again after connections go silent.
class SilentConnectionMeasure : public Measure {
 public:
  std::string Name() const override { return "silent_connection"; }
  Finding Run() override;
};

/// \brief Reads a second at the platform, all hosts together.
class ConfigReadsMeasure : public Measure {
 public:
  std::string Name() const override { return "config_reads"; }
  Finding Run() override;
};

/// \brief Time until an accepted change is in force on all hosts.
class ConfigSpreadMeasure : public Measure {
 public:
  std::string Name() const override { return "config_spread"; }
  Finding Run() override;
};

}  // namespace banyanknot::measure

#endif  // BANYANKNOT_BENCH_MEASURE_FLEET_MEASURES_H_
