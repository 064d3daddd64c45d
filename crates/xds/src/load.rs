use std::collections::BTreeMap;
use std::net::SocketAddr;

use prost::Message;
use shalereel::interface::Nanos;
use shalereel_rpc::Status;
use xds_api::pb::envoy::config::core::v3::Locality;
use xds_api::pb::envoy::config::endpoint::v3::{
    cluster_stats::DroppedRequests, ClusterStats, EndpointLoadMetricStats, UpstreamEndpointStats,
    UpstreamLocalityStats,
};
use xds_api::pb::envoy::service::load_stats::v3::{LoadStatsRequest, LoadStatsResponse};
use xds_api::pb::google::protobuf::Duration;

use crate::assignment::{address_in, address_out};
use crate::{decoded, NodeFacts};

/// Name of the load metric that tells answer times of succeeded tries, their sum in milliseconds.
pub const ANSWER_TIME: &str = "answer_time_ms";

/// Tries at one endpoint in one interval (`UpstreamEndpointStats`).
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointLoad {
    pub address: SocketAddr,
    pub zone: String,
    pub succeeded: u64,
    pub errored: u64,
    /// Answers with a known time, and that time's sum, nanoseconds.
    pub timed: u64,
    pub time: Nanos,
    /// Other named metrics: mean values.
    pub metrics: BTreeMap<String, f64>,
}

/// What came to one cluster in one interval (`ClusterStats`).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterLoad {
    pub cluster: String,
    pub interval: Nanos,
    /// Tries begun, by any endpoint, and those that failed.
    pub issued: u64,
    pub errored: u64,
    /// Invocations turned away before a try, by a level or for want of a line.
    pub dropped: u64,
    pub endpoints: Vec<EndpointLoad>,
}

/// One report (`LoadStatsRequest`).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// In the first report of a stream.
    pub node: Option<NodeFacts>,
    pub clusters: Vec<ClusterLoad>,
}

fn span_out(span: Nanos) -> Duration {
    Duration { seconds: (span / 1_000_000_000) as i64, nanos: (span % 1_000_000_000) as i32 }
}

fn span_in(span: Option<&Duration>) -> Nanos {
    let whole = |span: &Duration| (span.seconds.max(0) as Nanos).saturating_mul(1_000_000_000);
    span.map_or(0, |span| whole(span).saturating_add(span.nanos.max(0) as Nanos))
}

impl EndpointLoad {
    fn encode(&self) -> UpstreamEndpointStats {
        let metric = |name: &str, count, total| EndpointLoadMetricStats {
            metric_name: name.into(),
            num_requests_finished_with_metric: count,
            total_metric_value: total,
        };
        let mut metrics = vec![metric(ANSWER_TIME, self.timed, self.time as f64 / 1e6)];
        metrics.extend(self.metrics.iter().map(|(name, value)| metric(name, 1, *value)));
        UpstreamEndpointStats {
            address: Some(address_out(self.address)),
            total_successful_requests: self.succeeded,
            total_error_requests: self.errored,
            total_issued_requests: self.succeeded + self.errored,
            load_metric_stats: metrics,
            ..UpstreamEndpointStats::default()
        }
    }

    fn decode(stats: &UpstreamEndpointStats, zone: &str) -> Option<Self> {
        let mut load = EndpointLoad {
            address: address_in(stats.address.as_ref())?,
            zone: zone.to_owned(),
            succeeded: stats.total_successful_requests,
            errored: stats.total_error_requests,
            timed: 0,
            time: 0,
            metrics: BTreeMap::new(),
        };
        for metric in &stats.load_metric_stats {
            let (count, total) = (metric.num_requests_finished_with_metric, metric.total_metric_value);
            if count == 0 || !total.is_finite() || total < 0.0 {
                continue;
            }
            if metric.metric_name == ANSWER_TIME {
                (load.timed, load.time) = (count, (total * 1e6) as Nanos);
            } else {
                load.metrics.insert(metric.metric_name.clone(), total / count as f64);
            }
        }
        Some(load)
    }
}

impl LoadReport {
    pub fn encode(&self) -> Vec<u8> {
        let cluster_stats = self.clusters.iter().map(|cluster| {
            let mut zones: BTreeMap<&str, Vec<&EndpointLoad>> = BTreeMap::new();
            for endpoint in &cluster.endpoints {
                zones.entry(&endpoint.zone).or_default().push(endpoint);
            }
            let localities = zones.into_iter().map(|(zone, endpoints)| {
                let sum = |of: fn(&EndpointLoad) -> u64| endpoints.iter().map(|load| of(load)).sum::<u64>();
                UpstreamLocalityStats {
                    locality: Some(Locality { zone: zone.to_owned(), ..Locality::default() }),
                    total_successful_requests: sum(|load| load.succeeded),
                    total_error_requests: sum(|load| load.errored),
                    total_issued_requests: sum(|load| load.succeeded + load.errored),
                    upstream_endpoint_stats: endpoints.iter().map(|load| load.encode()).collect(),
                    ..UpstreamLocalityStats::default()
                }
            });
            ClusterStats {
                cluster_name: cluster.cluster.clone(),
                upstream_locality_stats: localities.collect(),
                total_dropped_requests: cluster.dropped,
                dropped_requests: vec![DroppedRequests {
                    category: "level".into(),
                    dropped_count: cluster.dropped,
                }],
                load_report_interval: Some(span_out(cluster.interval)),
                ..ClusterStats::default()
            }
        });
        let request = LoadStatsRequest {
            node: self.node.as_ref().map(NodeFacts::encode),
            cluster_stats: cluster_stats.collect(),
        };
        request.encode_to_vec()
    }

    /// Endpoints without a socket address are read over. Errors: not a `LoadStatsRequest`.
    pub fn decode(bytes: &[u8]) -> Result<Self, Status> {
        let request: LoadStatsRequest = decoded(bytes, "LoadStatsRequest")?;
        let clusters = request.cluster_stats.into_iter().map(|stats| {
            let localities = &stats.upstream_locality_stats;
            let endpoints = localities.iter().flat_map(|locality| {
                let zone = locality.locality.as_ref().map(|l| l.zone.as_str()).unwrap_or_default();
                locality.upstream_endpoint_stats.iter().filter_map(|stats| EndpointLoad::decode(stats, zone))
            });
            // Older clients leave `total_issued_requests` out.
            let issued = |l: &UpstreamLocalityStats| {
                l.total_issued_requests
                    .max(l.total_successful_requests.saturating_add(l.total_error_requests))
            };
            ClusterLoad {
                endpoints: endpoints.collect(),
                issued: localities.iter().fold(0, |sum, l| sum.saturating_add(issued(l))),
                errored: localities.iter().fold(0, |sum, l| sum.saturating_add(l.total_error_requests)),
                dropped: stats.total_dropped_requests,
                interval: span_in(stats.load_report_interval.as_ref()),
                cluster: stats.cluster_name,
            }
        });
        Ok(LoadReport { clusters: clusters.collect(), node: request.node.as_ref().map(NodeFacts::decode) })
    }
}

/// What a client is asked to report (`LoadStatsResponse`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadAnswer {
    pub interval: Nanos,
    pub by_endpoint: bool,
}

impl LoadAnswer {
    pub fn encode(&self) -> Vec<u8> {
        let response = LoadStatsResponse {
            send_all_clusters: true,
            load_reporting_interval: Some(span_out(self.interval)),
            report_endpoint_granularity: self.by_endpoint,
            ..LoadStatsResponse::default()
        };
        response.encode_to_vec()
    }

    pub fn decode(bytes: &[u8]) -> Result<Self, Status> {
        let response: LoadStatsResponse = decoded(bytes, "LoadStatsResponse")?;
        let interval = span_in(response.load_reporting_interval.as_ref());
        Ok(LoadAnswer { interval, by_endpoint: response.report_endpoint_granularity })
    }
}
