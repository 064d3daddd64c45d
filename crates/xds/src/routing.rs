//! The resources that a client needs before it subscribes to endpoints: a listener, its routes, and a cluster for each
//! operation.

use prost::Message;
use shalereel::interface;
use shalereel_rpc::Status;
use xds_api::pb::envoy::config::cluster::v3::cluster::{
    ClusterDiscoveryType, DiscoveryType, EdsClusterConfig, LbPolicy,
};
use xds_api::pb::envoy::config::cluster::v3::Cluster;
use xds_api::pb::envoy::config::core::v3::{
    config_source::ConfigSourceSpecifier, AggregatedConfigSource, ApiVersion, ConfigSource,
};
use xds_api::pb::envoy::config::listener::v3::{ApiListener, Listener};
use xds_api::pb::envoy::config::route::v3::{
    route, route_action::ClusterSpecifier, route_match::PathSpecifier, RetryPolicy, Route, RouteAction,
    RouteConfiguration, RouteMatch, VirtualHost,
};
use xds_api::pb::envoy::extensions::filters::network::http_connection_manager::v3::{
    http_connection_manager::RouteSpecifier, HttpConnectionManager, Rds,
};
use xds_api::pb::google::protobuf::{Any, UInt32Value};

use crate::{decoded, types};

/// Retry conditions that are met only if the attempt was not executed.
const NOT_EXECUTED: &str = "connect-failure,refused-stream";
/// Retry conditions for any failure.
const ANY_FAILURE: &str = "5xx,reset,connect-failure,refused-stream,cancelled,deadline-exceeded,unavailable";

/// Tells a client to get a resource from the aggregated stream (ADS).
pub(crate) fn from_ads() -> ConfigSource {
    ConfigSource {
        config_source_specifier: Some(ConfigSourceSpecifier::Ads(AggregatedConfigSource::default())),
        resource_api_version: ApiVersion::V3 as i32,
        ..ConfigSource::default()
    }
}

/// Encodes a listener for clients that do their own routing (`api_listener`); its routes have the same name.
pub fn listener(name: &str) -> Any {
    let manager = HttpConnectionManager {
        stat_prefix: name.into(),
        route_specifier: Some(RouteSpecifier::Rds(Rds {
            config_source: Some(from_ads()),
            route_config_name: name.into(),
        })),
        ..HttpConnectionManager::default()
    };
    let url = "type.googleapis.com/envoy.extensions.filters.network.http_connection_manager.v3.HttpConnectionManager";
    let manager = Any { type_url: url.into(), value: manager.encode_to_vec() };
    let api_listener = Some(ApiListener { api_listener: Some(manager) });
    let listener = Listener { name: name.into(), api_listener, ..Listener::default() };
    Any { type_url: types::LISTENER.into(), value: listener.encode_to_vec() }
}

/// Encodes the cluster of an operation. Clients subscribe to its endpoints by the operation's name.
pub fn cluster(operation: &str) -> Any {
    let cluster = Cluster {
        name: operation.into(),
        cluster_discovery_type: Some(ClusterDiscoveryType::Type(DiscoveryType::Eds as i32)),
        eds_cluster_config: Some(EdsClusterConfig {
            eds_config: Some(from_ads()),
            ..EdsClusterConfig::default()
        }),
        lb_policy: LbPolicy::RoundRobin as i32,
        ..Cluster::default()
    };
    Any { type_url: types::CLUSTER.into(), value: cluster.encode_to_vec() }
}

fn encode_retries(policy: interface::RetryPolicy) -> Option<RetryPolicy> {
    let (retry_on, count) = match policy {
        interface::RetryPolicy::Never => return None,
        interface::RetryPolicy::IfNotExecuted => (NOT_EXECUTED, 1),
        interface::RetryPolicy::Once => (ANY_FAILURE, 1),
        interface::RetryPolicy::Twice => (ANY_FAILURE, 2),
    };
    Some(RetryPolicy {
        retry_on: retry_on.into(),
        num_retries: Some(UInt32Value { value: count }),
        ..RetryPolicy::default()
    })
}

/// Encodes the routes: one for each operation, which matches the path `{prefix}{operation}`.
pub fn routes<'a>(
    name: &str,
    prefix: &str,
    operations: impl Iterator<Item = (&'a str, interface::RetryPolicy)>,
) -> Any {
    let route = |(operation, policy): (&str, interface::RetryPolicy)| Route {
        name: operation.into(),
        r#match: Some(RouteMatch {
            path_specifier: Some(PathSpecifier::Path(format!("{prefix}{operation}"))),
            ..RouteMatch::default()
        }),
        action: Some(route::Action::Route(RouteAction {
            cluster_specifier: Some(ClusterSpecifier::Cluster(operation.into())),
            retry_policy: encode_retries(policy),
            ..RouteAction::default()
        })),
        ..Route::default()
    };
    let host = VirtualHost {
        name: name.into(),
        domains: vec!["*".into()],
        routes: operations.map(route).collect(),
        ..VirtualHost::default()
    };
    let routes =
        RouteConfiguration { name: name.into(), virtual_hosts: vec![host], ..RouteConfiguration::default() };
    Any { type_url: types::ROUTES.into(), value: routes.encode_to_vec() }
}

/// Decodes the retry policies in routes, by operation.
///
/// # Errors
///
/// The message is not a `RouteConfiguration`.
pub fn decode_retries(any: &Any) -> Result<Vec<(String, interface::RetryPolicy)>, Status> {
    let routes: RouteConfiguration = decoded(&any.value, "RouteConfiguration")?;
    let mut found = Vec::new();
    for route in routes.virtual_hosts.iter().flat_map(|host| &host.routes) {
        let Some(route::Action::Route(action)) = &route.action else { continue };
        let Some(ClusterSpecifier::Cluster(cluster)) = &action.cluster_specifier else { continue };
        let max_retries =
            |retries: &RetryPolicy| retries.num_retries.as_ref().map_or(1, |number| number.value);
        let policy = match &action.retry_policy {
            None => interface::RetryPolicy::Never,
            Some(policy) if max_retries(policy) == 0 => interface::RetryPolicy::Never,
            // A policy with any other condition counts as one that retries any failure.
            Some(policy)
                if policy
                    .retry_on
                    .split(',')
                    .all(|condition| NOT_EXECUTED.split(',').any(|known| known == condition)) =>
            {
                interface::RetryPolicy::IfNotExecuted
            }
            Some(policy) if max_retries(policy) == 1 => interface::RetryPolicy::Once,
            Some(_) => interface::RetryPolicy::Twice,
        };
        found.push((cluster.clone(), policy));
    }
    Ok(found)
}
